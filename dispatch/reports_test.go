package dispatch_test

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/duty"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/ring"
	"dogwoodline.example/schedule"
)

// watcher collects the observations of a reports duty.
type watcher struct {
	out  *ring.Ring[dispatch.Observation]
	seen []dispatch.Observation
}

// watch starts a reports duty with the given targets. slots is the capacity of
// the ring of observations.
func watch(slots int, living func(string) bool, targets ...dispatch.Endpoint) *watcher {
	return watchWithConfig(dispatch.PollerConfig{IsLive: living}, slots, targets...)
}

// watchWithConfig is like watch. It sets the interval, timeout and clock of
// config.
func watchWithConfig(config dispatch.PollerConfig, slots int, targets ...dispatch.Endpoint) *watcher {
	w := &watcher{out: ring.New[dispatch.Observation](slots)}
	transport := dispatch.NewTransport()
	group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
	config.Interval, config.Timeout, config.Clock = 5*time.Millisecond, time.Second, clockwork.NewRealClock()
	list := func() []dispatch.Endpoint { return targets }
	dispatch.NewPoller(transport, config, list, w.out, slog.New(slog.DiscardHandler)).Start(group, 2)
	DeferCleanup(func() {
		group.Stop()
		transport.Close()
	})
	return w
}

// all returns all observations so far.
func (w *watcher) all() []dispatch.Observation {
	w.seen = w.out.PopBatch(w.seen, w.out.Cap())
	return w.seen
}

// has returns a function that reports whether an observation matches.
func (w *watcher) has(match func(dispatch.Observation) bool) func() bool {
	return func() bool { return slices.ContainsFunc(w.all(), match) }
}

func kind(k dispatch.ObservationKind) func(dispatch.Observation) bool {
	return func(o dispatch.Observation) bool { return o.Kind == k }
}

// cached returns the hashes of the prefixes that are cached according to the
// observations.
func (w *watcher) cached() map[uint64]bool {
	blocks := make(map[uint64]bool)
	for _, o := range w.all() {
		for _, event := range o.Cache {
			if event.Evicted {
				delete(blocks, event.Hash)
			} else {
				blocks[event.Hash] = true
			}
		}
	}
	return blocks
}

var _ = Describe("The reports duty", func() {
	// Guards against prefix hashes that differ from those of the engines, and
	// against events that are emitted twice or lost while the ring of
	// observations is full.
	It("emits cache events whose hashes match PrefixHashes", func() {
		e := startEngine(nil)
		w := watch(2, nil, endpoint(e.Address()))
		job := modelJob(e.Address(), "r1", 100)
		job.Body = chatBody("a question that is longer than a few blocks of the cache, so that several are kept", 100)
		text, _ := startPool(1).run(job)
		prompt, err := dispatch.Prompt(job.Body)
		Expect(err).NotTo(HaveOccurred())
		expected := make(map[uint64]bool)
		for _, hash := range dispatch.PrefixHashes(prompt+text, 16) {
			expected[hash] = true
		}
		Expect(len(expected)).To(BeNumerically(">", 2), "more events than slots in the ring")
		Eventually(w.cached).Should(Equal(expected))
		Expect(w.has(kind(dispatch.CacheGap))()).To(BeFalse())
	})

	It("reports lost cache events", func() {
		e := startEngine(func(c *engine.Config) { c.EventLoss = 0.5 })
		w := watch(64, nil, endpoint(e.Address()))
		startPool(1).run(modelJob(e.Address(), "r1", 400))
		Eventually(w.has(kind(dispatch.CacheGap))).Should(BeTrue())
	})

	It("reports a restart and leaving once, and an unreachable backend server", func() {
		e := startEngine(nil)
		w := watch(64, nil, endpoint(e.Address()), dispatch.Endpoint{Name: "b2", Address: refusedAddress()})
		Eventually(w.has(kind(dispatch.LoadReported))).Should(BeTrue())
		Expect(e.ApplySwitches(context.Background(), engine.Switches{Leaving: ptr(true)})).To(Succeed())
		Eventually(w.has(kind(dispatch.LeavingChanged))).Should(BeTrue())
		Expect(e.ApplySwitches(context.Background(), engine.Switches{CrashNow: true})).To(Succeed())
		Eventually(w.has(kind(dispatch.Restarted))).Should(BeTrue())
		Consistently(func() int {
			return len(slices.DeleteFunc(slices.Clone(w.all()), func(o dispatch.Observation) bool {
				return o.Kind != dispatch.Restarted && o.Kind != dispatch.LeavingChanged
			}))
		}, "100ms").Should(Equal(2))
		Expect(w.has(func(o dispatch.Observation) bool {
			return o.Kind == dispatch.Unreachable && o.Backend == "b2"
		})()).To(BeTrue())
	})

	// Guards against one hanging backend server that stops the polls of all others.
	It("keeps polling the other backend servers while one hangs", func() {
		hanging, good := startEngine(nil), startEngine(nil)
		Expect(hanging.ApplySwitches(context.Background(), engine.Switches{Hang: ptr(true)})).To(Succeed())
		other := dispatch.Endpoint{Name: "b2", Address: good.Address()}
		w := watch(64, nil, endpoint(hanging.Address()), other)
		Eventually(func() int {
			return len(slices.DeleteFunc(slices.Clone(w.all()), func(o dispatch.Observation) bool {
				return o.Kind != dispatch.LoadReported || o.Backend != "b2"
			}))
		}).Should(BeNumerically(">", 10))
	})

	It("releases the memory of ended programs but not of living ones", func() {
		e := startEngine(nil)
		p := startPool(1)
		for _, program := range []string{"ended", "living"} {
			job := modelJob(e.Address(), program, 100)
			job.Program = program
			p.run(job)
		}
		watch(64, func(program string) bool { return program == "living" }, endpoint(e.Address()))
		control := dispatch.NewControlClient(dispatch.NewTransport())
		held := func() map[string]int64 {
			memory, err := control.Held(context.Background(), endpoint(e.Address()))
			Expect(err).NotTo(HaveOccurred())
			return memory.Programs
		}
		Eventually(held).ShouldNot(HaveKey("ended"))
		Consistently(held, "50ms").Should(HaveKey("living"))
	})

	// Guards against a number of polls that grows with the number of nodes, and
	// against memory that stays allocated because only the node that schedules a
	// backend server checks it.
	It("polls backend servers that other nodes schedule for memory sweeps only", func() {
		e := startEngine(nil)
		job := modelJob(e.Address(), "ended", 100)
		job.Program = "ended"
		startPool(1).run(job)
		w := watchWithConfig(dispatch.PollerConfig{
			IsLive: func(string) bool { return false }, SchedulesBackend: func(schedule.BackendID) bool { return false },
			SweepInterval: 100 * time.Millisecond,
		}, 1024, endpoint(e.Address()))
		control := dispatch.NewControlClient(dispatch.NewTransport())
		Eventually(func() map[string]int64 {
			memory, err := control.Held(context.Background(), endpoint(e.Address()))
			Expect(err).NotTo(HaveOccurred())
			return memory.Programs
		}).ShouldNot(HaveKey("ended"))
		loads := len(slices.DeleteFunc(slices.Clone(w.all()), func(o dispatch.Observation) bool { return o.Kind != dispatch.LoadReported }))
		Expect(loads).To(BeNumerically("<", 20), "polling every 5 ms would give more")
		Expect(w.has(kind(dispatch.CacheChanged))()).To(BeFalse())
	})
})

var _ = Describe("Sweep", func() {
	none := func(string) bool { return false }

	// Guards against releasing the memory of a program that started after the
	// list of living programs was read.
	It("releases only programs that two consecutive sweeps found not living", func() {
		held := map[string]int64{"a": 1, "b": 1}
		release, gone := dispatch.ProgramsToRelease(held, none, nil)
		Expect(release).To(BeEmpty())
		living := func(program string) bool { return program == "b" }
		release, gone = dispatch.ProgramsToRelease(held, living, gone)
		Expect(release).To(Equal([]string{"a"}))
		release, _ = dispatch.ProgramsToRelease(held, none, gone)
		Expect(release).To(Equal([]string{"a"}), "b was living in the previous sweep")
	})
})
