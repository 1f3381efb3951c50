// Package membership tells which nodes live and which address a caller uses.
package membership
