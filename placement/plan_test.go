package placement_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dogwoodline.example/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.Timeout = 4 * time.Minute
	SetDefaultEventuallyTimeout(20 * time.Second) // long enough for a busy machine
	RunSpecs(t, "placement", suite, reporter)
}

// Guards against a decoder that panics or accepts indices out of range, and
// against a map that encodes differently after it was decoded.
func FuzzDecode(f *testing.F) {
	m := placement.NewMap(16)
	m.Assign([]string{"a", "b", "c"})
	m.Takeover("a", []string{"b", "c"})
	value, _ := m.Encode()
	f.Add(value)
	f.Add([]byte(`{"format":2,"owners":"AA=="}`))
	f.Add([]byte(`{"format":1,"owners":"AQ==","sources":{"3":[1]}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		m, err := placement.Decode(value)
		if err != nil {
			if !errors.Is(err, placement.ErrMalformed) && !errors.Is(err, placement.ErrUnknownFormat) {
				t.Fatalf("error %v is neither ErrMalformed nor ErrUnknownFormat", err)
			}
			return
		}
		first, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := placement.Decode(first)
		if err != nil {
			t.Fatal(err)
		}
		if second, _ := again.Encode(); !bytes.Equal(first, second) {
			t.Fatalf("encoded as %s, and as %s after decoding", first, second)
		}
	})
}

func nodeNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("node", i))
	}
	return names
}

// applyMoves performs handoffs and completes their adoptions.
func applyMoves(m *placement.Map, moves []placement.Move) {
	for _, move := range moves {
		Expect(m.Handoff(move)).To(BeTrue())
		Expect(m.RemoveSources(move.Shard, move.To, []string{move.From})).To(BeTrue())
	}
}

// ownedRange returns the smallest and the largest number of shards that one of
// the nodes owns.
func ownedRange(m placement.Map, names []string) (least, most int) {
	least = len(m.Shards)
	for _, name := range names {
		least, most = min(least, m.CountOwned(name)), max(most, m.CountOwned(name))
	}
	return least, most
}

var _ = Describe("Plans", func() {
	const shards = placement.DefaultShards

	It("give no node more than the rounded-up average", func() {
		for n := 1; n <= 40; n++ {
			m := placement.NewMap(shards)
			Expect(m.Assign(nodeNames(n))).To(BeTrue())
			_, most := ownedRange(m, nodeNames(n))
			Expect(most).To(BeNumerically("<=", (shards+n-1)/n))
			Expect(m.Assign(nodeNames(n))).To(BeFalse())
		}
	})

	It("move no more shards than balance needs when a node joins, and none after that", func() {
		for n := 1; n < 20; n++ {
			m := placement.NewMap(shards)
			m.Assign(nodeNames(n))
			applyMoves(&m, m.Rebalance(nodeNames(n)))
			moves := m.Rebalance(nodeNames(n + 1))
			for _, move := range moves {
				Expect(move.To).To(Equal(fmt.Sprint("node", n)))
			}
			Expect(len(moves)).To(BeNumerically("<=", (shards+n)/(n+1)))
			applyMoves(&m, moves)
			least, most := ownedRange(m, nodeNames(n+1))
			Expect(most - least).To(BeNumerically("<=", 1))
			Expect(m.Rebalance(nodeNames(n + 1))).To(BeEmpty())
		}
	})

	It("reassign only the shards of the dead node in a takeover, and keep their earlier sources", func() {
		m := placement.NewMap(shards)
		m.Assign(nodeNames(7))
		before := m.Clone()
		Expect(m.Takeover("node3", []string{"node0", "node1"})).To(BeTrue())
		for shard, e := range m.Shards {
			if before.Shards[shard].Owner == "node3" {
				Expect(e.Sources).To(Equal([]string{"node3"}))
				Expect(e.Owner).To(BeElementOf("node0", "node1"))
			} else {
				Expect(e).To(Equal(before.Shards[shard]))
			}
		}
		Expect(m.Takeover("node3", []string{"node5"})).To(BeFalse(), "a second takeover of the same node changes nothing")
		Expect(m.UnusedJournals()).To(BeEmpty(), "the sealed journal is still a source")

		first := m.Clone()
		m.Takeover("node0", []string{"node1"})
		adoptedTwice := 0
		for shard, e := range m.Shards {
			if before.Shards[shard].Owner == "node3" && first.Shards[shard].Owner == "node0" {
				Expect(e).To(Equal(placement.Entry{Owner: "node1", Sources: []string{"node0", "node3"}}))
				Expect(m.RemoveSources(shard, "node0", e.Sources)).To(BeFalse(), "node0 is not the owner any more")
				Expect(m.RemoveSources(shard, "node1", []string{"node3"})).To(BeFalse(), "node0 is missing in the sources")
				Expect(m.Handoff(placement.Move{Shard: shard, From: "node1", To: "node2"})).To(BeFalse(), "the shard is still being adopted")
				adoptedTwice++
			}
			m.RemoveSources(shard, "node1", e.Sources)
		}
		Expect(adoptedTwice).To(BeNumerically(">", 0))
		Expect(m.UnusedJournals()).To(ConsistOf("node0", "node3"))
		Expect(m.RemoveSealed([]string{"node0", "node3"})).To(BeTrue())
		Expect(m.UnusedJournals()).To(BeEmpty())
	})

	It("keep the balance and one owner for each shard through random joins, deaths and drains", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := placement.NewMap(64)
			live := []string{"n0"}
			m.Assign(live)
			for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
				victim := rapid.IntRange(0, len(live)-1).Draw(t, "victim")
				switch action := rapid.IntRange(0, 2).Draw(t, "action"); {
				case action == 0 || len(live) == 1:
					live = append(live, fmt.Sprint("n", i+1))
				case action == 1:
					dead := live[victim]
					live = append(append([]string(nil), live[:victim]...), live[victim+1:]...)
					m.Takeover(dead, live)
					for shard, e := range m.Shards {
						m.RemoveSources(shard, e.Owner, e.Sources)
					}
				default: // a node drains and leaves
					live = append(append([]string(nil), live[:victim]...), live[victim+1:]...)
				}
				for _, move := range m.Rebalance(live) {
					if !m.Handoff(move) || !m.RemoveSources(move.Shard, move.To, []string{move.From}) {
						t.Fatalf("planned handoff %v is not possible", move)
					}
				}
				least, most := ownedRange(m, live)
				total := 0
				for _, name := range live {
					total += m.CountOwned(name)
				}
				if most-least > 1 || total != len(m.Shards) {
					t.Fatalf("nodes own %d to %d shards, %d in total; live nodes: %v", least, most, total, live)
				}
			}
		})
	})

	It("keep a program and its descendants in one shard", func() {
		Expect(placement.Shard("root.1.2", shards)).To(Equal(placement.Shard("root", shards)))
		Expect(placement.Shard("other", shards)).NotTo(Equal(placement.Shard("root", shards)))
	})

	It("encode 1,024 shards of 420 nodes compactly", func() {
		m := placement.NewMap(shards)
		m.Assign(nodeNames(420))
		value, err := m.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(placement.Decode(value)).To(Equal(m))
		Expect(len(value)).To(BeNumerically("<", 9<<10))
	})
})
