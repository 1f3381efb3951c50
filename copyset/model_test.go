package copyset_test

import (
	"fmt"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/copyset"
)

// world is one state of a copy set whose stores keep a single record. Records do
// not influence each other, so one record stands for all of them.
type world struct {
	sets []copyset.Set // all versions so far; the last one is in force
	// holds, fence and lost are by disk: whether it has the record, the lowest
	// set that it still accepts, and whether its content is gone.
	holds map[string]bool
	fence map[string]int
	lost  map[string]bool
	// losses are the lost disks whose successors are not ready yet.
	losses  int
	written bool
	steps   []string // for failure messages
	nextID  int
}

func newWorld(members int) world {
	w := world{holds: map[string]bool{}, fence: map[string]int{}, lost: map[string]bool{}}
	w.sets = []copyset.Set{setOf(members)}
	return w
}

func (w world) current() copyset.Set { return w.sets[len(w.sets)-1] }

func (w world) copyWith(step string) world {
	next := w
	next.sets = slices.Clone(w.sets)
	next.holds, next.fence, next.lost = map[string]bool{}, map[string]int{}, map[string]bool{}
	for disk := range w.holds {
		next.holds[disk] = true
	}
	for disk, version := range w.fence {
		next.fence[disk] = version
	}
	for disk := range w.lost {
		next.lost[disk] = true
	}
	next.steps = append(slices.Clone(w.steps), step)
	return next
}

// key identifies the state up to the history that does not matter any more.
func (w world) key() string {
	var b strings.Builder
	for i, s := range w.sets {
		fmt.Fprint(&b, i, ":")
		for _, m := range s.Members {
			fmt.Fprint(&b, m.Disk, m.Ready, w.holds[m.Disk], w.fence[m.Disk], w.lost[m.Disk], " ")
		}
	}
	return fmt.Sprint(b.String(), w.losses, w.written)
}

// subsets calls visit with each subset of the disks that has the given size.
func subsets(disks []string, size int, visit func([]string)) {
	var choose func(from int, chosen []string)
	choose = func(from int, chosen []string) {
		if len(chosen) == size {
			visit(slices.Clone(chosen))
			return
		}
		for i := from; i < len(disks); i++ {
			choose(i+1, append(chosen, disks[i]))
		}
	}
	choose(0, nil)
}

// readyDisks returns the ready members that have not lost their content.
func (w world) readyDisks(s copyset.Set) []string {
	var disks []string
	for _, m := range s.Members {
		if m.Ready && !w.lost[m.Disk] {
			disks = append(disks, m.Disk)
		}
	}
	return disks
}

// unreadable returns a read quorum that does not have the written record, or
// nil.
func (w world) unreadable() []string {
	if !w.written {
		return nil
	}
	var found []string
	subsets(w.readyDisks(w.current()), w.current().ReadQuorum(), func(quorum []string) {
		if !slices.ContainsFunc(quorum, func(disk string) bool { return w.holds[disk] }) {
			found = quorum
		}
	})
	return found
}

// successors returns the states that one event leads to.
func (w world) successors(tolerated int) []world {
	var all []world
	add := func(next world) { all = append(all, next) }
	w.writes(add)
	w.losing(tolerated, add)
	w.joining(add)
	w.shrinking(tolerated, add)
	return all
}

// writes adds the states after the record was synced by a majority under any
// version of the set that its members still accept.
func (w world) writes(add func(world)) {
	if w.written {
		return
	}
	for version, s := range w.sets {
		var accepting []string
		for _, disk := range w.readyDisks(s) {
			if w.fence[disk] <= version {
				accepting = append(accepting, disk)
			}
		}
		subsets(accepting, s.Majority(), func(majority []string) {
			next := w.copyWith(fmt.Sprint("write under ", version, " at ", majority))
			for _, disk := range majority {
				next.holds[disk], next.fence[disk] = true, version
			}
			next.written = true
			add(next)
		})
	}
}

func (w world) losing(tolerated int, add func(world)) {
	if w.losses >= tolerated {
		return
	}
	for _, m := range w.current().Members {
		if w.lost[m.Disk] || !m.Ready {
			continue
		}
		next := w.copyWith("lose " + m.Disk)
		next.lost[m.Disk] = true
		delete(next.holds, m.Disk)
		next.losses++
		add(next)
	}
}

// joining adds the states after a new disk has joined, and after a joining disk
// has pulled and become ready.
func (w world) joining(add func(world)) {
	absent := func(disk string) bool { return w.lost[disk] }
	hosts := []string{"new host"}
	for _, m := range w.current().Members {
		if w.lost[m.Disk] {
			hosts = append(hosts, m.Host)
		}
	}
	for _, host := range hosts {
		disk := fmt.Sprint("n", w.nextID)
		if joined, ok := w.current().Join(member(disk, host), absent); ok && w.nextID < 2 {
			next := w.copyWith(fmt.Sprint("join ", disk, " on ", host))
			next.nextID++
			next.sets = append(next.sets, joined)
			add(next)
		}
	}
	for _, m := range w.current().Members {
		ready, ok := w.current().MarkReady(m.Disk)
		if !ok || w.lost[m.Disk] {
			continue
		}
		version := len(w.sets) - 1
		subsets(w.readyDisks(w.current()), w.current().MustPullFrom(m), func(pulled []string) {
			next := w.copyWith(fmt.Sprint(m.Disk, " pulls from ", pulled))
			for _, disk := range pulled {
				next.fence[disk] = version
				if w.holds[disk] {
					next.holds[m.Disk] = true
				}
			}
			next.sets = append(next.sets, ready)
			next.losses = max(0, next.losses-1)
			add(next)
		})
	}
}

// shrinking adds the states after an absent member was dropped, and after a
// member has retired: it refuses from the start of its last transfer on, and
// then leaves.
func (w world) shrinking(tolerated int, add func(world)) {
	for _, m := range w.current().Members {
		disk := m.Disk
		only := func(other string) bool { return other == disk }
		if next, _, ok := w.current().Drop(only, tolerated); ok {
			dropped := w.copyWith("drop " + disk)
			dropped.sets = append(dropped.sets, next)
			add(dropped)
		}
		if next, ok := w.current().Leave(disk, tolerated); ok && m.Ready && !w.lost[disk] {
			// Members that are down need not get the records.
			subsets(w.readyDisks(next), next.Majority(), func(receivers []string) {
				left := w.copyWith(fmt.Sprint("retire ", disk, " after a transfer to ", receivers))
				left.fence[disk] = len(w.sets) + 1
				for _, receiver := range receivers {
					if w.holds[disk] {
						left.holds[receiver] = true
					}
				}
				left.sets = append(left.sets, next)
				add(left)
			})
		}
	}
}

var _ = Describe("A copy set through all orders of events", func() {
	// Guards against a turn or a reservation that a majority has acknowledged and
	// that a later reader does not find: a store would then say that a turn was
	// never stored, and a program could spend its budget twice. Dropping a member
	// of a set with an odd number of members had that effect.
	DescribeTable("shows an acknowledged record to every read quorum",
		func(members, tolerated, depth int) {
			layer := []world{newWorld(members)}
			seen := map[string]bool{}
			for range depth {
				var next []world
				for _, w := range layer {
					for _, after := range w.successors(tolerated) {
						if seen[after.key()] {
							continue
						}
						seen[after.key()] = true
						Expect(after.unreadable()).To(BeNil(), "set of %d after %s", members, strings.Join(after.steps, ", "))
						next = append(next, after)
					}
				}
				layer = next
			}
		},
		Entry("two members, one loss", 2, 1, 7),
		Entry("three members, one loss", 3, 1, 6),
		Entry("four members, one loss", 4, 1, 5),
		Entry("five members, two losses", 5, 2, 4),
		Entry("six members, two losses", 6, 2, 3),
	)
})
