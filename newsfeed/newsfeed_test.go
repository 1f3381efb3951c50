package newsfeed_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"dogwoodline.example/duty"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/memstore"
	"dogwoodline.example/newsfeed"
	"dogwoodline.example/newsfeed/feedpb"
)

func TestNewsfeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "newsfeed")
}

// countingStore counts the watches that reach the platform's store.
type countingStore struct {
	kvstore.Store
	watches int
}

func (c *countingStore) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Event, kvstore.Version, error) {
	c.watches++
	return c.Store.Watch(ctx, prefix, after, wait)
}

func putEvent(key string, revision kvstore.Version) kvstore.Event {
	return kvstore.Event{Item: kvstore.Item{Key: key, Value: []byte(key), Version: revision}}
}

func keysOf(events []kvstore.Event) []string {
	var all []string
	for _, e := range events {
		all = append(all, e.Key)
	}
	return all
}

var _ = Describe("A reader", func() {
	var (
		ctx     context.Context
		hub     *newsfeed.Hub
		server  *grpc.Server
		address string
		store   *countingStore
		reader  *newsfeed.Reader
	)

	BeforeEach(func() {
		ctx = context.Background()
		group := duty.NewGroup(ctx, slog.New(slog.DiscardHandler), metrics.NewSet())
		DeferCleanup(group.Stop)
		hub = newsfeed.NewHub(group)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		server = grpc.NewServer()
		feedpb.RegisterFeedServer(server, hub)
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(listener) }()
		DeferCleanup(func() { server.Stop(); <-done })
		store = &countingStore{Store: memstore.New(clockwork.NewRealClock())}
		reader = newsfeed.NewReader(store, slog.New(slog.DiscardHandler), func(address string) (grpc.ClientConnInterface, func(), error) {
			conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
				grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20)))
			return conn, func() { conn.Close() }, err
		})
		reader.SetFeeds([]string{address})
	})

	It("gets changes from the feed, without a watch at the platform's store", func() {
		Expect(hub.Listed(ctx, 10)).To(Succeed())
		Expect(hub.Changed(ctx, []kvstore.Event{putEvent("a", 11), putEvent("b", 12)}, 12)).To(Succeed())
		events, revision, err := reader.Watch(ctx, "", 11, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keysOf(events)).To(Equal([]string{"b"}))
		Expect(revision).To(BeEquivalentTo(12))
		Expect(reader.FollowsFeed()).To(BeTrue())
		Expect(store.watches).To(BeZero())
	})

	It("gets a change as soon as the feed has it", func() {
		Expect(hub.Listed(ctx, 10)).To(Succeed())
		time.AfterFunc(50*time.Millisecond, func() { _ = hub.Changed(ctx, []kvstore.Event{putEvent("a", 11)}, 11) })
		start := time.Now()
		events, _, err := reader.Watch(ctx, "", 10, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(keysOf(events)).To(Equal([]string{"a"}))
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
	})

	// Guards against a front that returns to an older state when it switches from
	// the store to a feed that is behind.
	It("never gets a revision below the one it asked for", func() {
		Expect(hub.Listed(ctx, 10)).To(Succeed())
		events, revision, err := reader.Watch(ctx, "", 15, 50*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(BeEmpty())
		Expect(revision).To(BeEquivalentTo(15))
	})

	// Guards against missed changes: a feed that has just listed the store lacks
	// the changes before the list.
	It("watches the store directly when the feed lacks some of the changes", func() {
		_, err := store.Put(ctx, "k", []byte("v"), kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(hub.Listed(ctx, 10)).To(Succeed())
		events, _, err := reader.Watch(ctx, "", 0, 50*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(keysOf(events)).To(Equal([]string{"k"}))
		Expect(store.watches).To(Equal(1))
	})

	// Guards against a front that takes its configuration for the newest although its feed has
	// not heard from the platform's store for a while.
	It("tells how old the answer of a feed is", func() {
		Expect(hub.Listed(ctx, 1)).To(Succeed())
		_, _, err := reader.Watch(ctx, "", 1, 300*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(reader.WatchAge()).To(BeNumerically(">=", 300*time.Millisecond))
		Expect(store.watches).To(BeZero())
	})

	// Guards against a store that keeps thousands of versions of a large configuration in
	// memory.
	It("finds only the newest changes at the feed when they are large", func() {
		Expect(hub.Listed(ctx, 0)).To(Succeed())
		for revision := range 30 {
			event := putEvent("config", kvstore.Version(revision+1))
			event.Value = make([]byte, 1<<20)
			Expect(hub.Changed(ctx, []kvstore.Event{event}, event.Version)).To(Succeed())
		}
		events, _, err := reader.Watch(ctx, "", 14, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(16))
		Expect(store.watches).To(BeZero())
		_, _, err = reader.Watch(ctx, "", 13, 50*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.watches).To(Equal(1), "the feed has forgotten change 14")
	})

	// Guards against a front that can reach the platform's store but keeps
	// following a feed that cannot.
	It("watches the store directly when the feed has had no answer from it for a while", func() {
		Expect(hub.Listed(ctx, 0)).To(Succeed())
		time.Sleep(newsfeed.StaleAfter + 100*time.Millisecond)
		_, _, err := reader.Watch(ctx, "", 0, 50*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.watches).To(Equal(1))
		Expect(reader.FollowsFeed()).To(BeFalse())
	})

	// Guards against taking the loss of a feed for an outage of the store, after
	// which backend servers that are missing from the store would stay in use.
	It("reports no failure when the feed is lost, and tries the next one later", func() {
		reader.SetFeeds([]string{"127.0.0.1:1", address})
		Expect(hub.Listed(ctx, 0)).To(Succeed())
		_, _, err := reader.Watch(ctx, "", 0, 50*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.watches).To(Equal(1))
		Eventually(func() bool {
			Expect(hub.Changed(ctx, nil, 0)).To(Succeed())
			_, _, err := reader.Watch(ctx, "", 0, 20*time.Millisecond)
			Expect(errors.Is(err, kvstore.ErrUnavailable)).To(BeFalse())
			return reader.FollowsFeed()
		}, "3s", "50ms").Should(BeTrue())
	})
})
