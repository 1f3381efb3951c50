package upstream

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/duty"
)

var errRefusedElsewhere = errors.New("refused elsewhere")

// fakeDetour reaches the listener that stands for each address.
type fakeDetour struct {
	mu    sync.Mutex
	reach map[string]string
	dials int
	err   error // of dials to other addresses
}

func (d *fakeDetour) HasPeers() bool { return true }

func (d *fakeDetour) Refused(err error) bool { return errors.Is(err, errRefusedElsewhere) }

func (d *fakeDetour) Dial(_ context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials++
	if to, reached := d.reach[address]; reached {
		return net.Dial("tcp", to)
	}
	return nil, d.err
}

func (d *fakeDetour) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials
}

var _ = Describe("A path to a backend server", func() {
	listen := func() (net.Listener, string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() }) // a spec may have closed it
		return listener, listener.Addr().String()
	}
	// refusing returns an address at which nobody listens.
	refusing := func() string {
		listener, address := listen()
		Expect(listener.Close()).To(Succeed())
		return address
	}
	newPool := func(detour Detour) *Pool {
		group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
		DeferCleanup(group.Stop)
		return NewPool(group, nil, Settings{Detour: detour})
	}

	// Guards against a front without links to backend servers that serves nobody,
	// although other fronts reach them (RECOVER, issue 26).
	It("leads through another front while there is no direct one, and is direct again soon after", func() {
		_, elsewhere := listen()
		first, second := refusing(), refusing()
		detour := &fakeDetour{reach: map[string]string{first: elsewhere, second: elsewhere}}
		pool := newPool(detour)
		Expect(pool.CutOff()).To(BeFalse())
		for _, address := range []string{first, second} {
			c, err := pool.open(context.Background(), address)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.detour).To(BeTrue())
		}
		Expect(pool.CutOff()).To(BeTrue())
		for _, address := range []string{first, second} {
			listener, err := net.Listen("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
		}
		Eventually(pool.CutOff, "3s", "20ms").Should(BeFalse())
		c, err := pool.open(context.Background(), first)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.detour).To(BeFalse())
	})

	// Guards against taking a front for cut off because servers have ended, and
	// against flooding the other fronts when many calls meet the end of a server.
	It("is not taken for cut when nobody reaches the server, and others are seldom asked", func() {
		detour := &fakeDetour{err: errRefusedElsewhere}
		pool := newPool(detour)
		gone := []string{refusing(), refusing(), refusing()}
		for range 20 {
			for _, address := range gone {
				_, err := pool.open(context.Background(), address)
				Expect(err).To(MatchError(ErrNotConnected))
			}
		}
		Expect(pool.CutOff()).To(BeFalse())
		Expect(detour.count()).To(BeNumerically("<=", 2*len(gone)))
	})

	// Guards against a refused connection that counts as an end of its server, and
	// calls that are held for it, because this front is cut off (BUDGET).
	It("that is refused is told from a server that has ended", func() {
		_, elsewhere := listen()
		cut, ended := refusing(), refusing()
		pool := newPool(&fakeDetour{reach: map[string]string{cut: elsewhere}, err: errRefusedElsewhere})
		Expect(pool.Probe(context.Background(), cut)).To(Equal(CutOff))
		Expect(pool.Probe(context.Background(), ended)).To(Equal(Refusing))
	})

	// Guards against ends that nobody notices because no other front answers, and
	// against ends that a front invents that is cut off itself.
	It("that is refused counts as an end without another opinion only if other servers are reached", func() {
		_, elsewhere := listen()
		first, second, third := refusing(), refusing(), refusing()
		detour := &fakeDetour{reach: map[string]string{first: elsewhere, second: elsewhere}, err: errors.New("no other front answered")}
		pool := newPool(detour)
		Expect(pool.Probe(context.Background(), third)).To(Equal(Refusing))
		Expect(pool.Probe(context.Background(), first)).To(Equal(CutOff))
		Expect(pool.Probe(context.Background(), second)).To(Equal(CutOff))
		Expect(pool.Probe(context.Background(), third)).To(Equal(Silent))
	})

	// Guards against a front that counts as cut off for ever, because servers to which
	// its paths were cut have ended since.
	It("is no longer cut when its server has ended", func() {
		_, elsewhere := listen()
		first, second := refusing(), refusing()
		detour := &fakeDetour{reach: map[string]string{first: elsewhere, second: elsewhere}, err: errRefusedElsewhere}
		pool := newPool(detour)
		for _, address := range []string{first, second} {
			_, err := pool.open(context.Background(), address)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(pool.CutOff()).To(BeTrue())
		detour.mu.Lock()
		detour.reach = nil
		detour.mu.Unlock()
		Eventually(pool.CutOff, "3s", "20ms").Should(BeFalse())
	})

	// Guards against a front that is cut off for seconds before it says so, because it
	// opened connections to most servers shortly before the cut (RECOVER, issue 26).
	It("counts as cut with the whole host when two are, and none was opened since", func() {
		p := newPaths()
		now := time.Now()
		for _, address := range []string{"a", "b", "c", "d", "e", "f"} {
			p.noteOpened(address, now)
		}
		p.noteCut("a", now.Add(time.Second))
		Expect(p.hostCutOff(now.Add(time.Second))).To(BeFalse())
		p.noteCut("b", now.Add(2*time.Second))
		Expect(p.hostCutOff(now.Add(2 * time.Second))).To(BeTrue())
		for _, address := range []string{"c", "d", "e"} {
			p.noteOpened(address, now.Add(3*time.Second))
		}
		Expect(p.hostCutOff(now.Add(3*time.Second))).To(BeFalse(), "most servers are reached")
		p.noteOpened("a", now.Add(4*time.Second))
		p.noteOpened("b", now.Add(4*time.Second))
		Expect(p.hostCutOff(now.Add(4 * time.Second))).To(BeFalse())
	})

	It("whose server is not used any more is forgotten", func() {
		p := newPaths()
		now := time.Now()
		p.noteOpened("a", now)
		Expect(p.cutAddresses(now.Add(2 * pathMemory))).To(BeEmpty())
		Expect(p.byAddress).To(BeEmpty())
	})
})
