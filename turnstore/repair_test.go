package turnstore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"dogwoodline.example/duty"
	"dogwoodline.example/turnstore/turnpb"
)

// repairLimit is how soon a store that is back has what it missed, in these specs, whose
// stores miss a few records.
const repairLimit = "5s"

// line is one line of turns that a client goes on with.
type line struct {
	name     string
	contents [][]byte
}

// last returns the id of the last turn, or an empty text if there is none.
func (l *line) last() string {
	if len(l.contents) == 0 {
		return ""
	}
	return l.id(len(l.contents) - 1)
}

func (l *line) id(turn int) string { return fmt.Sprintf("%s-%d", l.name, turn) }

// next stores the next turn of the line through a client.
func (l *line) next(client *Client) {
	GinkgoHelper()
	id := l.id(len(l.contents))
	content := "content of " + id
	Eventually(func() Verdict {
		return do(client, Operation{Records: []*turnpb.Record{turnRecord(id, l.last(), content, time.Hour)}}).Verdict
	}, "5s", "20ms").Should(Equal(Stored))
	l.contents = append(l.contents, []byte(content))
}

// restartAfter stops a store, stores turns meanwhile, and starts it again on its disk.
func (c *cluster) restartAfter(host string, meanwhile func()) {
	GinkgoHelper()
	s := c.stores[host]
	c.stop(s)
	meanwhile()
	c.start(host, s.folder)
}

// wholeAt reports how many stores return the whole line by themselves, as a reader of
// an earlier release needs.
func (c *cluster) wholeAt(l *line) int {
	GinkgoHelper()
	set, count := c.set(), 0
	for _, s := range c.stores {
		reply, err := s.server.Exchange(context.Background(), &turnpb.ExchangeRequest{
			CopySet: set.Version, Set: encodeVersionedSet(set), Chains: []string{l.last()},
		})
		Expect(err).NotTo(HaveOccurred())
		if len(reply.Chains) == 1 && reply.Chains[0].Whole {
			count++
		}
	}
	return count
}

// expectLine expects that a client that has just started reads the whole line.
func (c *cluster) expectLine(l *line) {
	GinkgoHelper()
	result := do(c.newClient(), Operation{Chain: l.last()})
	Expect(result.Verdict).To(Equal(Stored), "missing turn %q of %q", result.MissingTurn, l.last())
	Expect(result.Conversation).To(Equal(l.contents))
}

// blockableConn is a connection on which requests fail while it is blocked.
type blockableConn struct {
	grpc.ClientConnInterface
	blocked *atomic.Bool
}

func (c blockableConn) Invoke(ctx context.Context, method string, in, out any, options ...grpc.CallOption) error {
	if c.blocked.Load() {
		return errors.New("cut off")
	}
	return c.ClientConnInterface.Invoke(ctx, method, in, out, options...)
}

// withoutNewFields clears the fields that stores of the release before do not know.
func withoutNewFields(ctx context.Context, in any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	switch request := in.(type) {
	case *turnpb.ExchangeRequest:
		request.MissedMs = 0
	case *turnpb.PullRequest:
		request.ArrivedWithinMs, request.MaxBytes = 0, 0
	}
	return handle(ctx, in)
}

var _ = Describe("A store that was away", func() {
	hosts := []string{"a", "b", "c", "d"}

	// Guards against records that stay on fewer disks for good, because nothing gives a
	// store that is back what the others stored meanwhile (LOST, review/1).
	It("has the turns that were stored meanwhile soon after it is back, also the last ones", func() {
		c := newCluster(hosts...)
		client, l := c.newClient(), &line{name: "l"}
		l.next(client)
		c.restartAfter("a", func() {
			for range 3 {
				l.next(client)
			}
		})
		Eventually(func() int { return c.wholeAt(l) }, repairLimit, "50ms").Should(Equal(len(hosts)))
	})

	// Guards against a store that is not told what it has missed when it did not restart
	// itself but could not be reached.
	It("has the records that were stored while it was cut off", func() {
		c := newCluster(hosts...)
		var blocked atomic.Bool
		cutOff := c.stores["b"].address
		group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
		DeferCleanup(group.Stop)
		client := NewClient(group, slog.New(slog.DiscardHandler), "a", 1, func(address string) (grpc.ClientConnInterface, func(), error) {
			conn, closeConn, err := dialTest(address)
			if address == cutOff {
				conn = blockableConn{conn, &blocked}
			}
			return conn, closeConn, err
		})
		Expect(client.SetCopySet(context.Background(), c.set())).To(Succeed())
		Eventually(client.Serving, "5s", "5ms").Should(BeTrue())
		l := &line{name: "l"}
		l.next(client)
		blocked.Store(true)
		l.next(client)
		l.next(client)
		Expect(do(client, Operation{Records: []*turnpb.Record{settle("x", 7)}}).Verdict).To(Equal(Stored))
		blocked.Store(false)
		Eventually(func() int { return c.wholeAt(l) }, repairLimit, "50ms").Should(Equal(len(hosts)))
		records, err := c.stores["b"].server.Pull(context.Background(), &turnpb.PullRequest{CopySet: c.set().Version})
		Expect(err).NotTo(HaveOccurred())
		Expect(records.Records).To(ContainElement(WithTransform((*turnpb.Record).GetSettlement, HaveField("Attempt", "x"))))
	})

	// Guards against a conversation that a release of the stores leaves without a store
	// that has all of it, and against its loss with the next disk (LOST, review/1).
	It("has what it missed before the next loss, so that all conversations outlive a release and what follows", func() {
		c := newCluster(hosts...)
		client := c.newClient()
		lines := []*line{{name: "one"}, {name: "two"}, {name: "three"}}
		goOn := func() {
			for _, l := range lines {
				l.next(client)
			}
		}
		goOn()
		for _, host := range hosts {
			c.restartAfter(host, goOn)
			Expect(client.SetCopySet(context.Background(), c.set())).To(Succeed())
			goOn()
		}
		for _, l := range lines {
			c.expectLine(l)
			Eventually(func() int { return c.wholeAt(l) }, repairLimit, "50ms").Should(Equal(len(hosts)))
		}
		By("losing a disk")
		c.stop(c.stores["a"])
		c.start("a", GinkgoT().TempDir())
		c.stop(c.stores["b"])
		for _, l := range lines {
			c.expectLine(l)
		}
		c.start("b", c.stores["b"].folder)
		By("growing")
		c.start("e", GinkgoT().TempDir())
		By("retiring a disk")
		c.notify("d")
		Expect(c.stores["d"].joiner.Updates().TryPush(Update{Retire: &RetireOrder{}})).To(Succeed())
		Eventually(func() int { return len(c.set().Members) }, "8s", "10ms").Should(Equal(4))
		c.stop(c.stores["d"])
		delete(c.stores, "d")
		for _, l := range lines {
			c.expectLine(l)
		}
	})

	// Guards against a release from a build whose stores repair nothing and do not know
	// the new fields, during which each store is restarted once.
	It("has what it missed from stores of the release before", func() {
		c := &cluster{noRepair: true, interceptor: withoutNewFields}
		c.init(hosts...)
		client, l := c.newClient(), &line{name: "l"}
		l.next(client)
		c.noRepair, c.interceptor = false, nil
		for i, host := range hosts {
			c.restartAfter(host, func() { l.next(client) })
			Expect(client.SetCopySet(context.Background(), c.set())).To(Succeed())
			Eventually(func() int { return c.wholeAt(l) }, repairLimit, "50ms").Should(BeNumerically(">", 0),
				"after %d stores are new, fronts of the release before read the conversation from one store", i+1)
			l.next(client)
		}
		Eventually(func() int { return c.wholeAt(l) }, repairLimit, "50ms").Should(Equal(len(hosts)))
	})

	// Guards against gaps that the release before has left on the disks.
	It("has the turns before those on its disk, whenever it missed them", func() {
		c := &cluster{noRepair: true}
		c.init(hosts...)
		l := &line{name: "l"}
		for turn := range 12 {
			l.contents = append(l.contents, []byte("content of "+l.id(turn)))
			previous := ""
			if turn > 0 {
				previous = l.id(turn - 1)
			}
			for h, host := range hosts {
				if h != turn/3 {
					c.importInto(host, turnRecord(l.id(turn), previous, string(l.contents[turn]), time.Hour))
				}
			}
		}
		c.noRepair = false
		for _, host := range hosts[:2] {
			c.restartAfter(host, func() {})
		}
		Eventually(func() int { return c.wholeAt(l) }, repairLimit, "50ms").Should(BeNumerically(">=", 2))
	})

	// Guards against a budget that is exceeded because a store that missed a program's
	// last settlement forgets its earlier ones too soon: of the others, only one is left
	// that knows them.
	It("keeps a program's settlements as long as the stores that were there", func() {
		c := newCluster("a", "b", "c")
		client := c.newClient()
		settled := func(attempt string, tokens int64, left time.Duration) {
			GinkgoHelper()
			record := settle(attempt, tokens)
			record.GetSettlement().ExpiresUnixMs = time.Now().Add(left).UnixMilli()
			Eventually(func() Verdict { // as a front does while a store that is back has another address
				return do(client, Operation{Records: []*turnpb.Record{record}}).Verdict
			}, "2s", "20ms").Should(Equal(Stored))
		}
		c.restartAfter("c", func() {
			settled("early", 70, 3*time.Second)
		})
		Expect(client.SetCopySet(context.Background(), c.set())).To(Succeed())
		c.restartAfter("a", func() {
			settled("late", 10, time.Hour)
		})
		time.Sleep(3*time.Second + 2*expireInterval)
		c.stop(c.stores["b"])
		Expect(do(c.newClient(), Operation{Records: []*turnpb.Record{reserve("next", 30)}, Budget: 100}).Verdict).To(Equal(OverBudget))
	})

	// Guards against a store that asks for ever for turns that no store has.
	It("does not ask again for a turn that no other store has", func() {
		c := newCluster(hosts...)
		for _, host := range hosts {
			c.importInto(host, turnRecord("t1", "never", "one", time.Hour))
		}
		a := c.stores["a"]
		Expect(a.due()).To(BeEmpty(), "it has just come up")
		Eventually(a.due, repairLimit, "50ms").Should(BeEmpty())
		Consistently(a.due, "1s", "50ms").Should(BeEmpty())
		Expect(a.server.gauges.gapCount.Load()).To(BeEquivalentTo(1))
	})

	// Guards against turns that cannot be read any more after random restarts, lost disks
	// and cuts, one store at a time.
	DescribeTable("loses no turn in random faults", func(seed uint64, count int) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := newCluster(hosts[:count]...)
		client := c.newClient()
		lines := []*line{{name: "one"}, {name: "two"}}
		some := func() {
			for range random.IntN(3) {
				lines[random.IntN(len(lines))].next(client)
			}
		}
		for range 8 {
			host := hosts[random.IntN(count)]
			some()
			if random.IntN(3) > 0 {
				c.restartAfter(host, some)
			} else {
				By("losing the disk of " + host)
				c.stop(c.stores[host])
				some()
				c.start(host, GinkgoT().TempDir())
			}
			Expect(client.SetCopySet(context.Background(), c.set())).To(Succeed())
			for _, l := range lines {
				if l.last() != "" {
					c.expectLine(l)
				}
			}
		}
		for _, l := range lines {
			Eventually(func() int { return c.wholeAt(l) }, repairLimit, "50ms").Should(Equal(count))
		}
	},
		Entry("of three stores, seed 1", uint64(1), 3),
		Entry("of three stores, seed 2", uint64(2), 3),
		Entry("of four stores, seed 3", uint64(3), 4),
		Entry("of four stores, seed 4", uint64(4), 4),
	)
})
