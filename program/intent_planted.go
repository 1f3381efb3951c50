//go:build plantedfault

package program

// durableIntents is off in this build, which must never serve callers.
const durableIntents = false
