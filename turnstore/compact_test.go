package turnstore

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/copyset"
	"dogwoodline.example/duty"
	"dogwoodline.example/turnstore/turnpb"
)

// steppedStore is a store whose duties are run by the spec.
type steppedStore struct {
	*Server
	folder string
	now    time.Time
}

// smallDisk is the disk of a stepped store: 3.2 MB of records.
const smallDisk = 4 << 20

func openStepped(folder string) *steppedStore {
	GinkgoHelper()
	group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
	server, err := open(group, slog.New(slog.DiscardHandler), folder, Limits{MemoryBytes: 1 << 20, DiskBytes: smallDisk})
	Expect(err).NotTo(HaveOccurred())
	server.SetCopySet(copyset.Set{Version: 1, Members: []copyset.Member{{Disk: server.Disk(), Ready: true}}})
	return &steppedStore{Server: server, folder: folder, now: time.Now()}
}

// exchanged sends one request through the writer, and the reader if it has to.
func (s *steppedStore) exchanged(in *turnpb.ExchangeRequest) *turnpb.ExchangeReply {
	GinkgoHelper()
	in.CopySet = 1
	reply := make(chan outcome, 1)
	s.processBatch([]request{{exchange: in, reply: reply}})
	for len(reply) == 0 {
		s.readOne()
	}
	return (<-reply).exchange
}

func (s *steppedStore) readOne() {
	GinkgoHelper()
	job, ok := s.reads.TryPop()
	Expect(ok).To(BeTrue())
	Expect(s.read(context.Background(), job)).To(Succeed())
}

// step goes on with the compaction under way by one write or removal.
func (s *steppedStore) step() {
	GinkgoHelper()
	s.continueCompaction()
	for s.reads.Len() > 0 {
		s.readOne()
	}
	for s.requests.Len() > 0 {
		r, _ := s.requests.TryPop()
		s.processBatch([]request{r})
	}
	s.expectWithinDisk()
}

// compact runs compactions until none is due.
func (s *steppedStore) compact() {
	GinkgoHelper()
	for range 100 {
		s.expireAndCompact(s.now)
		if s.compaction == nil {
			return
		}
		for s.compaction != nil {
			s.step()
		}
	}
	Fail("compaction does not end")
}

func (s *steppedStore) expectWithinDisk() {
	GinkgoHelper()
	names, err := filepath.Glob(filepath.Join(s.folder, "*"))
	Expect(err).NotTo(HaveOccurred())
	size := int64(0)
	for _, name := range names {
		info, err := os.Stat(name)
		Expect(err).NotTo(HaveOccurred())
		size += info.Size()
	}
	Expect(size).To(BeNumerically("<=", int64(smallDisk)))
}

// put stores a turn of 24 KB that is kept for the given time.
func (s *steppedStore) put(program, number int, kept time.Duration) turnpb.Status {
	GinkgoHelper()
	previous := ""
	if number > 0 {
		previous = fmt.Sprint(program, "/", number-1)
	}
	record := turnRecord(fmt.Sprint(program, "/", number), previous, content(program, number), 0)
	record.GetTurn().ExpiresUnixMs = s.now.Add(kept).UnixMilli()
	status := s.exchanged(&turnpb.ExchangeRequest{Records: []*turnpb.Record{record}}).Status
	s.expectWithinDisk()
	return status
}

func (s *steppedStore) chain(program, turns int) *turnpb.Chain {
	GinkgoHelper()
	return s.exchanged(&turnpb.ExchangeRequest{Chains: []string{fmt.Sprint(program, "/", turns-1)}}).Chains[0]
}

func (s *steppedStore) expectChain(program, turns int) {
	GinkgoHelper()
	chain := s.chain(program, turns)
	Expect(chain.Whole).To(BeTrue(), "conversation %d", program)
	Expect(chain.Turns).To(HaveLen(turns))
	for i, t := range chain.Turns {
		Expect(string(t.Content) == content(program, turns-1-i)).To(BeTrue(), "turn %s", t.Id)
	}
}

var _ = Describe("A disk", func() {
	// Guards against a log that outgrows its disk, or turns that compaction loses: each
	// twentieth is kept throughout, and the rest is many times the disk.
	It("holds what is live, whatever was written before", func() {
		s := openStepped(GinkgoT().TempDir())
		for program := range 1000 {
			kept := 10 * time.Second
			if program%20 == 0 {
				kept = time.Hour
			}
			Expect(s.put(program, 0, kept)).To(Equal(turnpb.Status_STATUS_OK), "conversation %d", program)
			if s.now = s.now.Add(200 * time.Millisecond); program%10 == 0 {
				s.compact()
			}
		}
		for program := 0; program < 1000; program += 20 {
			s.expectChain(program, 1)
		}
		restarted := openStepped(copyDisk(s.folder))
		for program := 0; program < 1000; program += 20 {
			restarted.expectChain(program, 1)
		}
		Expect(len(restarted.state.turns)).To(BeNumerically("<", 300))
	})

	// Guards against turns within their retention that give way to new ones, and against a
	// store that does not say that it is full, or does not recover.
	It("that is full refuses records until others expire, and says so before", func() {
		s := openStepped(GinkgoT().TempDir())
		stored := 0
		for s.put(stored, 0, time.Minute) == turnpb.Status_STATUS_OK {
			stored++
			s.compact()
		}
		Expect(stored).To(BeNumerically(">", 100))
		used, limit := s.fullness()
		Expect(float64(used) / float64(limit)).To(BeNumerically(">", 1))
		for program := range stored {
			s.expectChain(program, 1)
		}
		restarted := openStepped(copyDisk(s.folder))
		Expect(restarted.put(stored, 0, time.Minute)).To(Equal(turnpb.Status_STATUS_FAILED))
		s.now = s.now.Add(2 * time.Minute)
		s.compact()
		Expect(s.put(stored, 0, time.Minute)).To(Equal(turnpb.Status_STATUS_OK))
		used, limit = s.fullness()
		Expect(float64(used) / float64(limit)).To(BeNumerically("<", 0.1))
	})

	// Guards against a kill or loss of power between the copy of a record and the removal
	// of its segment, or amid the copy.
	It("has each turn at every step of a compaction", func() {
		s := openStepped(GinkgoT().TempDir())
		for program := range 60 {
			kept := time.Second
			if program%10 == 0 {
				kept = time.Hour
			}
			Expect(s.put(program, 0, kept)).To(Equal(turnpb.Status_STATUS_OK))
			Expect(s.put(program, 1, kept)).To(Equal(turnpb.Status_STATUS_OK))
		}
		s.now = s.now.Add(time.Minute)
		s.expireAndCompact(s.now)
		Expect(s.compaction).NotTo(BeNil())
		check := func(folder string) {
			restarted := openStepped(folder)
			for program := 0; program < 60; program += 10 {
				restarted.expectChain(program, 2)
			}
		}
		for steps := 0; s.compaction != nil && steps < 20; steps++ {
			s.step()
			check(copyDisk(s.folder))
			torn := copyDisk(s.folder)
			last := filepath.Join(torn, fmt.Sprintf("%016d.log", s.turnLog.CurrentSegment()))
			if info, err := os.Stat(last); err == nil && s.compaction != nil {
				Expect(os.Truncate(last, max(0, info.Size()-10))).To(Succeed())
				check(torn)
			}
		}
	})

	// Guards against a conversation that is answered without its content, and against a turn
	// that stays lost here although other stores have it.
	It("with a damaged segment lacks its turns, and has them copied from others", func() {
		s := openStepped(GinkgoT().TempDir())
		for number := range 80 {
			Expect(s.put(1, number, time.Hour)).To(Equal(turnpb.Status_STATUS_OK))
		}
		first := filepath.Join(s.folder, fmt.Sprintf("%016d.log", 1))
		bytes, err := os.ReadFile(first)
		Expect(err).NotTo(HaveOccurred())
		bytes[1000] ^= 1 // in the first turn
		Expect(os.WriteFile(first, bytes, 0o644)).To(Succeed())
		Expect(s.state.turns["1/0"].hot).To(BeNil())
		chain := s.chain(1, 80)
		Expect(chain.Whole).To(BeFalse())
		Expect(chain.Turns).To(HaveLen(79))
		s.compaction = &compaction{segment: 1, items: s.state.liveThrough(1)}
		for s.compaction != nil {
			s.step()
		}
		Expect(s.state.turns).NotTo(HaveKey("1/0"))
		Expect(s.state.gaps).To(HaveKey("1/0"))
		Expect(s.chain(1, 80).Turns).To(HaveLen(79))
	})

	// Guards against a turn that loses its organisation or backend server on its way through
	// the disk, a compaction or another store, and is then anybody's.
	It("keeps all that it was told of a turn", func() {
		s := openStepped(GinkgoT().TempDir())
		record := turnRecord("owned", "", "x", time.Hour)
		record.GetTurn().Organisation, record.GetTurn().BackendServer = "o", "b"
		s.exchanged(&turnpb.ExchangeRequest{Records: []*turnpb.Record{record}})
		expect := func(t *turnpb.Turn) {
			GinkgoHelper()
			Expect([]string{t.Organisation, t.BackendServer, string(t.Content)}).To(Equal([]string{"o", "b", "x"}))
		}
		for _, cold := range []bool{false, true} {
			if cold {
				s.state.hot.evict(0)
			}
			out := outcome{pull: &turnpb.PullReply{}}
			s.fillPull(&turnpb.PullRequest{Turns: []string{"owned"}}, out.pull, &out.cold)
			reply := make(chan outcome, 1)
			s.reply(request{reply: reply}, out)
			if cold {
				s.readOne()
			}
			expect((<-reply).pull.Records[0].GetTurn())
			expect(s.exchanged(&turnpb.ExchangeRequest{Chains: []string{"owned"}}).Chains[0].Turns[0])
		}
		s = openStepped(copyDisk(s.folder))
		expect(s.exchanged(&turnpb.ExchangeRequest{Chains: []string{"owned"}}).Chains[0].Turns[0])
		s.state.hot.evict(0)
		s.compaction = &compaction{segment: 1, items: s.state.liveThrough(1)}
		for s.compaction != nil {
			s.step()
		}
		s.state.hot.evict(0)
		expect(s.exchanged(&turnpb.ExchangeRequest{Chains: []string{"owned"}}).Chains[0].Turns[0])
	})

	// Guards against one log line for each refused request.
	It("that is full is logged once a second", func() {
		var refused throttledLog
		lines, now := 0, time.Now()
		for range 5000 {
			refused.count++
			now = now.Add(time.Millisecond)
			if _, ok := refused.due(now); ok {
				lines++
			}
		}
		Expect(lines).To(BeNumerically("~", 5, 1))
	})
})

var _ = Describe("The fullness of the stores", func() {
	// Guards against programs that are refused because a minority is full, or started
	// although a majority cannot keep their turns.
	It("is that which a majority does not exceed", func() {
		Expect(majorityFullness([]int64{900, 100, 950, 200, 300}, 3)).To(BeEquivalentTo(300))
		Expect(majorityFullness([]int64{900, 100, 950, 900, 300}, 3)).To(BeEquivalentTo(900))
		Expect(majorityFullness([]int64{0, 990}, 3)).To(BeEquivalentTo(990), "too few are reached")
		Expect(majorityFullness(nil, 3)).To(BeZero())
	})

	It("reaches the clients", func() {
		c := &cluster{memory: 1 << 20}
		c.init("a", "b", "c")
		client := c.newClient()
		Expect(client.Fullness()).To(BeNumerically("<", 0.1))
		for i := range 2000 {
			_ = do(client, Operation{Records: []*turnpb.Record{turnRecord(fmt.Sprint("t", i), "", "x", time.Hour)}})
		}
		Eventually(client.Fullness, "3s", "10ms").Should(BeNumerically(">=", 1))
	})
})
