//go:build !plantedfault

package program

// durableIntents tells that the intent of a non-idempotent call is durable
// before the call is sent. The build tag plantedfault turns it off, so that
// the fault runs of package soak can show that they find a doubled effect.
const durableIntents = true
