// Package api is the HTTP interface for callers and operators.
package api
