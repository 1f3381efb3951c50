package kvstore_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

// lossy loses the answer to the first write; before and after run around it.
type lossy struct {
	kvstore.Store
	lost          bool
	before, after func()
	drop          bool // the lost write takes no effect either
}

func (l *lossy) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (kvstore.Version, error) {
	if l.lost {
		return l.Store.Put(ctx, key, value, expected, lease)
	}
	l.lost = true
	l.before()
	if !l.drop {
		_, _ = l.Store.Put(ctx, key, value, expected, lease)
	}
	l.after()
	return 0, kvstore.ErrAmbiguous
}

var _ = Describe("Resolver", func() {
	var (
		ctx      = context.Background()
		store    *memstore.Store
		wrapped  *lossy
		resolver kvstore.Resolver
		first    kvstore.Version
	)

	BeforeEach(func() {
		clock := clockwork.NewFakeClock()
		store = memstore.New(clock)
		var err error
		first, err = store.Put(ctx, "k", []byte("0"), kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
		nothing := func() {}
		wrapped = &lossy{Store: store, before: nothing, after: nothing}
		resolver = kvstore.Resolver{Store: wrapped, Clock: clock}
	})

	overwrite := func() {
		_, err := store.Put(ctx, "k", []byte("other"), kvstore.AnyVersion, 0)
		Expect(err).NotTo(HaveOccurred())
	}

	It("recognises its own write", func() {
		version, err := resolver.Put(ctx, "k", []byte("mine"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(first + 1))
	})

	It("repeats a write that was lost on the way", func() {
		wrapped.drop = true
		version, err := resolver.Put(ctx, "k", []byte("mine"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(first + 1))
	})

	It("reports success for its write that was overwritten before it could look", func() {
		wrapped.after = overwrite
		version, err := resolver.Put(ctx, "k", []byte("mine"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(first + 1))
	})

	It("reports a conflict with the current version when another write came first", func() {
		wrapped.before = overwrite
		version, err := resolver.Put(ctx, "k", []byte("mine"), first, 0)
		Expect(err).To(MatchError(kvstore.ErrConflict))
		Expect(version).To(Equal(first + 1))
	})

	It("stays ambiguous while the store is unreachable", func() {
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		resolver = kvstore.Resolver{Store: down{}, Clock: clockwork.NewRealClock()}
		_, err := resolver.Put(short, "k", []byte("mine"), first, 0)
		Expect(err).To(MatchError(kvstore.ErrAmbiguous))
	})
})

// down loses the answer to every write and refuses every read.
type down struct{ kvstore.Store }

func (down) Put(context.Context, string, []byte, kvstore.Version, kvstore.LeaseID) (kvstore.Version, error) {
	return 0, kvstore.ErrAmbiguous
}

func (down) Get(context.Context, string) (kvstore.Item, error) {
	return kvstore.Item{}, kvstore.ErrUnavailable
}
