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

// newTestCore returns a core with round numbers: 1,000 tokens/s of prefill,
// 100 tokens/s of decode and blocks of 4 tokens.
func newTestCore(modify func(*Config)) *core {
	config := DefaultConfig()
	config.Slots, config.BlockTokens, config.CacheBlocks = 2, 4, 100
	config.PrefillTokensPerS, config.DecodeTokensPerS, config.BatchSlowdown = 1000, 100, 1
	if modify != nil {
		modify(&config)
	}
	return newCore(config, epoch)
}

// newRequest returns a request whose prompt has the given number of tokens.
func newRequest(id, program string, promptTokens, total int) *request {
	return newRequestWithPrompt(id, program, strings.Repeat(program[:1]+"ab ", promptTokens), total)
}

func newRequestWithPrompt(id, program, prompt string, total int) *request {
	r := &request{
		key: requestKey{id, 1}, program: program, totalTokens: total, buffered: true,
		prompt: prompt, answerText: AnswerText(id, 1, total), updates: ring.New[progress](progressSlots),
	}
	r.prepare(4)
	return r
}

// lastProgress takes all progress off the request's ring and returns the last.
func lastProgress(r *request) progress {
	var result progress
	for {
		p, ok := r.updates.TryPop()
		if !ok {
			return result
		}
		result = p
	}
}

var _ = Describe("The state machine of the engine", func() {
	It("shares the prefill rate and slows decode as the batch grows", func() {
		c := newTestCore(nil)
		alone := newRequest("r1", "p", 100, 100)
		c.admit(epoch, alone, false)
		c.Advance(after(1099 * time.Millisecond))
		Expect(lastProgress(alone).done).To(BeFalse())
		c.Advance(after(1101 * time.Millisecond)) // 0.1 s of prefill and 1 s of decode
		Expect(lastProgress(alone).done).To(BeTrue())

		c = newTestCore(nil)
		pair := []*request{newRequest("r1", "p", 100, 100), newRequest("r2", "q", 100, 100)}
		for _, r := range pair {
			c.admit(epoch, r, false)
		}
		c.Advance(after(2199 * time.Millisecond))
		Expect(lastProgress(pair[0]).done || lastProgress(pair[1]).done).To(BeFalse())
		c.Advance(after(2201 * time.Millisecond)) // 0.2 s of prefill and 2 s of decode
		Expect(lastProgress(pair[0]).done && lastProgress(pair[1]).done).To(BeTrue())
	})

	It("applies a slow-down factor from the time it is set", func() {
		c := newTestCore(nil)
		r := newRequest("r1", "p", 100, 100)
		c.admit(epoch, r, false)
		c.Advance(after(600 * time.Millisecond)) // prefill and 50 tokens
		factor := 5.0
		c.applySwitches(after(600*time.Millisecond), Switches{SlowFactor: &factor})
		c.Advance(after(3099 * time.Millisecond))
		Expect(lastProgress(r).done).To(BeFalse())
		c.Advance(after(3101 * time.Millisecond))
		Expect(lastProgress(r).done).To(BeTrue())
	})

	It("reaches the same totals in one step and in many", func() {
		finish := func(step time.Duration) Totals {
			c := newTestCore(nil)
			for i, id := range []string{"r1", "r2", "r3", "r4"} {
				c.admit(epoch, newRequest(id, "p"+id, 50*(i+1), 40+i), false)
			}
			for t := step; t <= 3*time.Second; t += step {
				c.Advance(after(t))
			}
			return c.totals
		}
		Expect(finish(3 * time.Second)).To(Equal(finish(time.Millisecond)))
	})

	It("runs waiting requests by priority and refuses those past their deadline or above the queue limit", func() {
		c := newTestCore(func(config *Config) { config.Slots, config.MaxWaiting = 1, 3 })
		first, low, high := newRequest("r1", "a", 10, 10), newRequest("r2", "b", 10, 10), newRequest("r3", "c", 10, 10)
		late, excess := newRequest("r4", "d", 10, 10), newRequest("r5", "e", 10, 10)
		high.priority = 5
		late.deadline = after(50 * time.Millisecond)
		for _, r := range []*request{first, low, high, late, excess} {
			c.admit(epoch, r, false)
		}
		Expect(lastProgress(excess).refusal).To(Equal(overloaded))
		c.Advance(after(60 * time.Millisecond))
		Expect(lastProgress(late).refusal).To(Equal(pastDeadline))
		c.Advance(after(225 * time.Millisecond))
		Expect(lastProgress(first).done && lastProgress(high).done).To(BeTrue())
		Expect(lastProgress(low).done).To(BeFalse())
	})

	It("finds the prompt and answer of a turn in the cache when the next turn runs", func() {
		c := newTestCore(nil)
		turn := newRequest("r1", "p", 40, 20)
		c.admit(epoch, turn, false)
		c.Advance(after(time.Second))
		next := newRequestWithPrompt("r2", "p", turn.prompt+turn.answerText+strings.Repeat("new ", 10), 20)
		c.admit(after(time.Second), next, false)
		c.Advance(after(2 * time.Second))
		Expect(lastProgress(next).cachedTokens).To(Equal(60))
	})

	// Guards against a cache that grows beyond its limit and against evicted
	// blocks that still count as memory of a program.
	It("evicts the least recently used blocks and no longer counts them", func() {
		c := newTestCore(func(config *Config) { config.CacheBlocks = 25 })
		for i, program := range []string{"a", "b", "a", "c"} {
			now := after(time.Duration(i) * time.Second)
			c.admit(now, newRequest(string(rune('0'+i)), program, 36, 4), false)
			c.Advance(now.Add(time.Second))
		}
		// The requests store 10, 10, 1 and 10 blocks, because the second prompt
		// of "a" is cached. Of these 31 the six least recently used are evicted:
		// the first answer of "a" and five blocks of "b".
		Expect(c.cache.lru.Len()).To(Equal(25))
		held := c.heldTokensByProgram()
		Expect(held["c"]).To(BeEquivalentTo(40))
		Expect(held["a"]).To(BeEquivalentTo(40))
		Expect(held["b"]).To(BeEquivalentTo(20))
		Expect(c.heldTokens()).To(BeEquivalentTo(100))
	})

	It("counts memory per program and frees only the blocks that no other program holds", func() {
		c := newTestCore(nil)
		shared := newRequestWithPrompt("r2", "q", newRequest("", "p", 36, 4).prompt, 4)
		c.admit(epoch, newRequest("r1", "p", 36, 4), false)
		c.Advance(after(time.Second))
		c.admit(after(time.Second), shared, false)
		c.Advance(after(2 * time.Second))
		Expect(c.heldTokensByProgram()).To(Equal(map[string]int64{"p": 40, "q": 40}))
		answer := c.execute(after(2*time.Second), "release", Order{Program: "p"})
		Expect(answer.Released).To(BeEquivalentTo(40))
		Expect(c.heldTokensByProgram()).To(Equal(map[string]int64{"q": 40}))
		Expect(c.heldTokens()).To(BeEquivalentTo(40))

		exported := c.execute(after(2*time.Second), "export", Order{Program: "q"}).Blocks
		other := newTestCore(nil)
		other.execute(epoch, "import", Order{Program: "q", Blocks: exported})
		Expect(other.heldTokensByProgram()).To(Equal(map[string]int64{"q": 40}))
		again := newRequestWithPrompt("r3", "q", shared.prompt+shared.answerText+"more", 4)
		other.admit(epoch, again, false)
		other.Advance(after(time.Second))
		Expect(lastProgress(again).cachedTokens).To(Equal(40))
	})

	It("loses its state in a crash and restarts with a new start id", func() {
		c := newTestCore(func(config *Config) { config.CrashMarker = "poison" })
		running, poison := newRequest("r1", "p", 36, 100), newRequestWithPrompt("r2", "q", "some poison here", 1)
		start := c.startID
		c.admit(epoch, running, false)
		c.Advance(after(100 * time.Millisecond))
		c.admit(after(100*time.Millisecond), poison, false)
		Expect(lastProgress(running).crashed && lastProgress(poison).crashed).To(BeTrue())
		Expect(c.crashes.Len()).To(Equal(1))
		c.Restart(after(time.Second))
		Expect(c.startID).NotTo(Equal(start))
		Expect(c.heldTokensByProgram()).To(BeEmpty())
		Expect(c.visibleReport(after(time.Second)).Running).To(BeZero())
	})

	DescribeTable("checks fencing numbers if ObeyFencing is set", func(obey bool, reason refusalReason) {
		c := newTestCore(func(config *Config) { config.ObeyFencing = obey })
		Expect(c.execute(epoch, "role", Order{Fence: 7, Name: "decode"}).Reason).To(Equal(notRefused))
		Expect(c.execute(epoch, "role", Order{Fence: 6, Name: "prefill"}).Reason).To(Equal(reason))
		Expect(c.role == "decode").To(Equal(obey))
	},
		Entry("obeyed", true, fenced),
		Entry("ignored", false, notRefused),
	)

	It("delays load reports and cache events by their lag", func() {
		c := newTestCore(func(config *Config) { config.ReportLag, config.EventLag = 2*time.Second, time.Second })
		c.Advance(after(500 * time.Millisecond))
		c.admit(after(500*time.Millisecond), newRequest("r1", "p", 40, 1000), false)
		c.Advance(after(time.Second))
		Expect(c.visibleReport(after(2400 * time.Millisecond)).Running).To(BeZero())
		Expect(c.visibleReport(after(2600 * time.Millisecond)).Running).To(Equal(1))
		Expect(c.cache.eventsSince(0, after(500*time.Millisecond))).To(BeEmpty())
		Expect(c.cache.eventsSince(0, after(time.Second))).To(HaveLen(10))
		Expect(c.cache.eventsSince(4, after(time.Second))).To(HaveLen(6))
	})

	// Guards against a request that keeps running for a client that never
	// reconnects, and against a cancelled request that still holds its slot.
	It("keeps a request of a lost client for the resume window and then cancels it", func() {
		c := newTestCore(func(config *Config) { config.Slots, config.ResumeWindow = 1, time.Second })
		r, resumed := newRequest("r1", "p", 10, 1000), newRequest("r1", "p", 10, 1000)
		broken := r.updates
		c.admit(epoch, r, false)
		c.Advance(after(time.Second))
		c.handleDisconnect(after(time.Second), r.key, broken)
		c.Advance(after(1500 * time.Millisecond))
		c.admit(after(1500*time.Millisecond), resumed, true)
		Expect(lastProgress(resumed).tokens).To(Equal(149))
		c.handleDisconnect(after(1600*time.Millisecond), r.key, broken) // late notice from the replaced handler
		c.Advance(after(5 * time.Second))
		Expect(c.running).To(HaveLen(1))
		c.handleDisconnect(after(5*time.Second), r.key, resumed.updates)
		Expect(c.NextWake(epoch)).To(BeNumerically("<=", time.Second))
		c.Advance(after(6 * time.Second))
		Expect(c.running).To(BeEmpty())
		Expect(c.heldTokensByProgram()).To(Equal(map[string]int64{"p": 8}), "the cached part of the prompt is kept")
	})

	It("refuses a duplicate of an attempt and models that are not loaded", func() {
		c := newTestCore(func(config *Config) { config.Models, config.LoadTime = []string{"m1"}, time.Second })
		admit := func(id, model string, now time.Time) refusalReason {
			r := newRequest(id, "p", 10, 1000)
			r.model = model
			c.admit(now, r, false)
			return lastProgress(r).refusal
		}
		Expect(admit("r1", "m1", epoch)).To(Equal(notRefused))
		Expect(admit("r1", "m1", epoch)).To(Equal(duplicate))
		Expect(admit("r2", "m2", epoch)).To(Equal(notLoaded))
		c.execute(epoch, "load", Order{Name: "m2"})
		c.finishLoads(after(999 * time.Millisecond))
		Expect(admit("r2", "m2", epoch)).To(Equal(notLoaded))
		c.finishLoads(after(time.Second))
		Expect(admit("r2", "m2", after(time.Second))).To(Equal(notRefused))
	})
})
