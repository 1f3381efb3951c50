// Package dispatch carries scheduling decisions to model engines and plain
// services.
package dispatch
