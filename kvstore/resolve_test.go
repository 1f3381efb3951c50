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

func TestKVStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kvstore")
}

// lossyStore loses the response to the first Put and returns ErrAmbiguous for
// it. It calls beforePut before that Put reaches the wrapped store, and afterPut
// after it.
type lossyStore struct {
	kvstore.Store
	firstPutDone        bool
	beforePut, afterPut func()
	loseRequest         bool // the request is lost too, so the write takes no effect
}

func (l *lossyStore) Put(ctx context.Context, key string, value []byte, expected kvstore.Version, lease kvstore.LeaseID) (kvstore.Version, error) {
	if l.firstPutDone {
		return l.Store.Put(ctx, key, value, expected, lease)
	}
	l.firstPutDone = true
	l.beforePut()
	if !l.loseRequest {
		_, _ = l.Store.Put(ctx, key, value, expected, lease)
	}
	l.afterPut()
	return 0, kvstore.ErrAmbiguous
}

var _ = Describe("Resolver", func() {
	var (
		ctx      = context.Background()
		store    *memstore.Store
		lossy    *lossyStore
		resolver kvstore.Resolver
		first    kvstore.Version // of the value that BeforeEach stores
	)

	BeforeEach(func() {
		clock := clockwork.NewFakeClock()
		store = memstore.New(clock)
		var err error
		first, err = store.Put(ctx, "k", []byte("0"), kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
		noop := func() {}
		lossy = &lossyStore{Store: store, beforePut: noop, afterPut: noop}
		resolver = kvstore.Resolver{Store: lossy, Clock: clock}
	})

	overwrite := func() {
		_, err := store.Put(ctx, "k", []byte("other"), kvstore.AnyVersion, 0)
		Expect(err).NotTo(HaveOccurred())
	}

	It("reports success for a write that took effect although its response was lost", func() {
		version, err := resolver.Put(ctx, "k", []byte("mine"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(first + 1))
	})

	It("repeats a write that did not take effect because its request was lost", func() {
		lossy.loseRequest = true
		version, err := resolver.Put(ctx, "k", []byte("mine"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(first + 1))
	})

	It("reports success for a write that was overwritten before it was read back", func() {
		lossy.afterPut = overwrite
		version, err := resolver.Put(ctx, "k", []byte("mine"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(first + 1))
	})

	It("reports a conflict with the current version when another write took effect first", func() {
		lossy.beforePut = overwrite
		version, err := resolver.Put(ctx, "k", []byte("mine"), first, 0)
		Expect(err).To(MatchError(kvstore.ErrConflict))
		Expect(version).To(Equal(first + 1))
	})

	It("reports an ambiguous write when ctx ends while the store is unreachable", func() {
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		resolver = kvstore.Resolver{Store: unreachableStore{}, Clock: clockwork.NewRealClock()}
		_, err := resolver.Put(short, "k", []byte("mine"), first, 0)
		Expect(err).To(MatchError(kvstore.ErrAmbiguous))
	})
})

// unreachableStore returns ErrAmbiguous for every Put, as if the response were
// lost, and ErrUnavailable for every Get.
type unreachableStore struct{ kvstore.Store }

func (unreachableStore) Put(context.Context, string, []byte, kvstore.Version, kvstore.LeaseID) (kvstore.Version, error) {
	return 0, kvstore.ErrAmbiguous
}

func (unreachableStore) Get(context.Context, string) (kvstore.Item, error) {
	return kvstore.Item{}, kvstore.ErrUnavailable
}
