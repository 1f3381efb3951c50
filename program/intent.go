//go:build !plantedfault

package program

// durableIntents makes a non-idempotent call wait for its intent to be durable
// before it is sent. The build tag plantedfault turns this off, so that the
// tests of package soak can prove that they detect a call that was run twice.
const durableIntents = true
