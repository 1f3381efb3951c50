package engine

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/ring"
)

func TestEngine(t *testing.T) {
	SetDefaultEventuallyTimeout(10 * time.Second)
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

var epoch = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return epoch.Add(d) }

// testCore returns a core of an engine with easy numbers: 1,000 tokens/s of
// prefill, 100 of decode, and blocks of 4 tokens.
func testCore(change func(*Config)) *core {
	config := DefaultConfig()
	config.Slots, config.BlockTokens, config.CacheBlocks = 2, 4, 100
	config.PrefillTokensPerS, config.DecodeTokensPerS, config.BatchSlowdown = 1000, 100, 1
	if change != nil {
		change(&config)
	}
	return newCore(config, epoch)
}

// newRequest returns a request with a prompt of the given tokens.
func newRequest(id, program string, promptTokens, total int) *request {
	return &request{
		key: requestKey{id, 1}, program: program, total: total, silent: true,
		prompt: strings.Repeat(program[:1]+"ab ", promptTokens), text: Text(id, 1, total),
		listener: ring.New[progress](progressSlots),
	}
}

func last(r *request) progress {
	var result progress
	for {
		p, ok := r.listener.TryPop()
		if !ok {
			return result
		}
		result = p
	}
}

var _ = Describe("The engine's state", func() {
	It("shares prefill and slows decode with the size of the batch", func() {
		c := testCore(nil)
		alone := newRequest("r1", "p", 100, 100)
		c.admit(epoch, alone, false)
		c.advance(after(1099 * time.Millisecond))
		Expect(last(alone).done).To(BeFalse())
		c.advance(after(1101 * time.Millisecond)) // 0.1 s of prefill and 1 s of decode
		Expect(last(alone).done).To(BeTrue())

		c = testCore(nil)
		pair := []*request{newRequest("r1", "p", 100, 100), newRequest("r2", "q", 100, 100)}
		for _, r := range pair {
			c.admit(epoch, r, false)
		}
		c.advance(after(2199 * time.Millisecond))
		Expect(last(pair[0]).done || last(pair[1]).done).To(BeFalse())
		c.advance(after(2201 * time.Millisecond)) // 0.2 s of prefill and 2 s of decode
		Expect(last(pair[0]).done && last(pair[1]).done).To(BeTrue())
	})

	It("gives the same result whether it advances in one step or in many", func() {
		finish := func(step time.Duration) Totals {
			c := testCore(nil)
			for i, id := range []string{"r1", "r2", "r3", "r4"} {
				c.admit(epoch, newRequest(id, "p"+id, 50*(i+1), 40+i), false)
			}
			for t := step; t <= 3*time.Second; t += step {
				c.advance(after(t))
			}
			return c.totals
		}
		Expect(finish(3 * time.Second)).To(Equal(finish(time.Millisecond)))
	})

	It("runs waiting requests by priority, refuses late ones and those past the queue's limit", func() {
		c := testCore(func(config *Config) { config.Slots, config.MaxWaiting = 1, 3 })
		first, low, high := newRequest("r1", "a", 10, 10), newRequest("r2", "b", 10, 10), newRequest("r3", "c", 10, 10)
		late, excess := newRequest("r4", "d", 10, 10), newRequest("r5", "e", 10, 10)
		high.priority = 5
		late.deadline = after(50 * time.Millisecond)
		for _, r := range []*request{first, low, high, late, excess} {
			c.admit(epoch, r, false)
		}
		Expect(last(excess).refused).To(Equal(overloaded))
		c.advance(after(60 * time.Millisecond))
		Expect(last(late).refused).To(Equal(pastDeadline))
		c.advance(after(225 * time.Millisecond))
		Expect(last(first).done && last(high).done).To(BeTrue())
		Expect(last(low).done).To(BeFalse())
	})

	It("finds a turn's prompt and answer in the cache of the next turn", func() {
		c := testCore(nil)
		turn := newRequest("r1", "p", 40, 20)
		c.admit(epoch, turn, false)
		c.advance(after(time.Second))
		next := newRequest("r2", "p", 0, 20)
		next.prompt = turn.prompt + turn.text + strings.Repeat("new ", 10)
		c.admit(after(time.Second), next, false)
		c.advance(after(2 * time.Second))
		Expect(last(next).cached).To(Equal(60))
	})

	// Guards against a cache that grows without limit and against memory that
	// is counted for a program whose blocks were evicted.
	It("evicts the least recently used blocks and stops counting them", func() {
		c := testCore(func(config *Config) { config.CacheBlocks = 25 })
		for i, program := range []string{"a", "b", "a", "c"} {
			now := after(time.Duration(i) * time.Second)
			c.admit(now, newRequest(string(rune('0'+i)), program, 36, 4), false)
			c.advance(now.Add(time.Second))
		}
		// The runs store 10, 10, 1 and 10 blocks, because the second prompt of
		// "a" was cached. Of these 31 the six oldest go: the first answer of
		// "a" and five blocks of "b".
		Expect(c.cache.recent.Len()).To(Equal(25))
		held := c.heldPrograms()
		Expect(held["c"]).To(BeEquivalentTo(40))
		Expect(held["a"]).To(BeEquivalentTo(40))
		Expect(held["b"]).To(BeEquivalentTo(20))
		Expect(c.heldTokens()).To(BeEquivalentTo(100))
	})

	It("counts memory per program and releases only what no other program holds", func() {
		c := testCore(nil)
		shared := newRequest("r2", "q", 0, 4)
		shared.prompt = newRequest("", "p", 36, 4).prompt
		c.admit(epoch, newRequest("r1", "p", 36, 4), false)
		c.advance(after(time.Second))
		c.admit(after(time.Second), shared, false)
		c.advance(after(2 * time.Second))
		Expect(c.heldPrograms()).To(Equal(map[string]int64{"p": 40, "q": 40}))
		answer := c.obey(after(2*time.Second), "release", Order{Program: "p"})
		Expect(answer.Released).To(BeEquivalentTo(40))
		Expect(c.heldPrograms()).To(Equal(map[string]int64{"q": 40}))
		Expect(c.heldTokens()).To(BeEquivalentTo(40))

		exported := c.obey(after(2*time.Second), "export", Order{Program: "q"}).Blocks
		other := testCore(nil)
		other.obey(epoch, "import", Order{Program: "q", Blocks: exported})
		Expect(other.heldPrograms()).To(Equal(map[string]int64{"q": 40}))
		again := newRequest("r3", "q", 0, 4)
		again.prompt = shared.prompt + shared.text + "more"
		other.admit(epoch, again, false)
		other.advance(after(time.Second))
		Expect(last(again).cached).To(Equal(40))
	})

	It("loses everything in a crash and starts with another start id", func() {
		c := testCore(func(config *Config) { config.CrashMarker = "poison" })
		running, poison := newRequest("r1", "p", 36, 100), newRequest("r2", "q", 1, 1)
		poison.prompt = "some poison here"
		start := c.startID
		c.admit(epoch, running, false)
		c.advance(after(100 * time.Millisecond))
		c.admit(after(100*time.Millisecond), poison, false)
		Expect(last(running).crashed && last(poison).crashed).To(BeTrue())
		Expect(c.crashes.Len()).To(Equal(1))
		c.start(after(time.Second))
		Expect(c.startID).NotTo(Equal(start))
		Expect(c.heldPrograms()).To(BeEmpty())
		Expect(c.load(after(time.Second)).Running).To(BeZero())
	})

	DescribeTable("takes fencing numbers as its setting tells", func(obey bool, reason string) {
		c := testCore(func(config *Config) { config.ObeyFencing = obey })
		Expect(c.obey(epoch, "role", Order{Fence: 7, Name: "decode"}).Reason).To(BeEmpty())
		Expect(c.obey(epoch, "role", Order{Fence: 6, Name: "prefill"}).Reason).To(Equal(reason))
		Expect(c.role == "decode").To(Equal(obey))
	},
		Entry("obeyed", true, "fenced"),
		Entry("ignored", false, ""),
	)

	It("reports its load and its cache events late", func() {
		c := testCore(func(config *Config) { config.ReportLag, config.EventLag = 2*time.Second, time.Second })
		c.advance(after(500 * time.Millisecond))
		c.admit(after(500*time.Millisecond), newRequest("r1", "p", 40, 1000), false)
		c.advance(after(time.Second))
		Expect(c.load(after(2400 * time.Millisecond)).Running).To(BeZero())
		Expect(c.load(after(2600 * time.Millisecond)).Running).To(Equal(1))
		Expect(c.cache.since(0, after(500*time.Millisecond))).To(BeEmpty())
		Expect(c.cache.since(0, after(time.Second))).To(HaveLen(10))
		Expect(c.cache.since(4, after(time.Second))).To(HaveLen(6))
	})

	// Guards against a run that goes on for a client that never comes back,
	// and against a cancelled run that still holds its slot.
	It("keeps a run for the resume window and then cancels it", func() {
		c := testCore(func(config *Config) { config.Slots, config.ResumeWindow = 1, time.Second })
		r, resumed := newRequest("r1", "p", 10, 1000), newRequest("r1", "p", 10, 1000)
		broken := r.listener
		c.admit(epoch, r, false)
		c.advance(after(time.Second))
		c.disconnected(after(time.Second), r.key, broken)
		c.advance(after(1500 * time.Millisecond))
		c.admit(after(1500*time.Millisecond), resumed, true)
		Expect(last(resumed).tokens).To(Equal(149))
		c.disconnected(after(1600*time.Millisecond), r.key, broken) // told late
		c.advance(after(5 * time.Second))
		Expect(c.running).To(HaveLen(1))
		c.disconnected(after(5*time.Second), r.key, resumed.listener)
		Expect(c.wake()).To(BeNumerically("<=", time.Second))
		c.advance(after(6 * time.Second))
		Expect(c.running).To(BeEmpty())
		Expect(c.heldPrograms()).To(Equal(map[string]int64{"p": 8}), "the cached part of the prompt stays")
	})

	It("refuses a second run of the same attempt and models that are not loaded", func() {
		c := testCore(func(config *Config) { config.Models, config.LoadTime = []string{"m1"}, time.Second })
		load := func(id, model string, now time.Time) refusal {
			r := newRequest(id, "p", 10, 1000)
			r.model = model
			c.admit(now, r, false)
			return last(r).refused
		}
		Expect(load("r1", "m1", epoch)).To(Equal(none))
		Expect(load("r1", "m1", epoch)).To(Equal(duplicate))
		Expect(load("r2", "m2", epoch)).To(Equal(notLoaded))
		c.obey(epoch, "load", Order{Name: "m2"})
		c.finishLoads(after(999 * time.Millisecond))
		Expect(load("r2", "m2", epoch)).To(Equal(notLoaded))
		c.finishLoads(after(time.Second))
		Expect(load("r2", "m2", after(time.Second))).To(Equal(none))
	})
})
