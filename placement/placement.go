// Package placement decides which journal owns which shard, and what a
// takeover or a handoff changes.
package placement
