//go:build plantedfault

package program

// durableIntents is false in this build: a call may be run twice after the loss
// of its owner. It must never serve callers.
const durableIntents = false
