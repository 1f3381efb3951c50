// Package load is the load and experiment tool.
package load
