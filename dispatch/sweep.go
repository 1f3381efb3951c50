package dispatch

import "slices"

// Gone is the set of programs that a sweep of one backend server saw holding
// memory and not living.
type Gone map[string]struct{}

// Sweep compares the memory that programs hold on one backend server with the
// living programs. It returns the programs to release, in order of name, and
// what the next sweep of the same backend server takes as previous.
//
// A program is released only when two sweeps in a row saw it as gone, since
// the list of living programs may be older than a program's first call. living
// must also report programs whose shard this node does not own, or that is
// being moved or adopted, as living.
func Sweep(held map[string]int64, living func(program string) bool, previous Gone) ([]string, Gone) {
	var release []string
	next := make(Gone)
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
