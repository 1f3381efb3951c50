package dispatch

import "slices"

// ReleaseCandidates is the set of programs that a sweep found holding memory on one backend
// server although they were not living. The next sweep releases those that it
// finds again.
type ReleaseCandidates map[string]struct{}

// ProgramsToRelease compares the programs that hold memory (KV cache) on one backend server
// with the living programs, that is, those that have not ended. It returns the
// programs whose memory can be released, sorted by name, and the set to pass as
// previous to the next sweep of the same backend server.
//
// A program is released only if two consecutive sweeps found it not living,
// because the list of living programs may be older than the program's first
// call. living must also return true for programs of a shard that this node
// does not own, or that is being moved or taken over.
func ProgramsToRelease(held map[string]int64, living func(program string) bool, previous ReleaseCandidates) ([]string, ReleaseCandidates) {
	var release []string
	next := make(ReleaseCandidates)
	for program := range held {
		if living(program) {
			continue
		}
		next[program] = struct{}{}
		if _, twice := previous[program]; twice {
			release = append(release, program)
		}
	}
	slices.Sort(release)
	return release, next
}
