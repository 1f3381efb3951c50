package platformserver_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/emulator/platformserver"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/httpstore"
)

func TestPlatformServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platformserver")
}

func start(settings platformserver.Settings) (*platformserver.Server, *httpstore.Client) {
	server := platformserver.New(settings)
	web := httptest.NewServer(server.Handler())
	DeferCleanup(web.Close)
	client, err := httpstore.New(httpstore.Settings{URL: web.URL})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return server, client
}

var _ = Describe("httpstore.Client and Server", func() {
	ctx := context.Background()

	It("keeps keys with special characters apart and numbers their versions", func() {
		_, client := start(platformserver.Settings{})
		keys := []string{"a/b", "a//b", "a/b?x=1", "a/ü %2F", "a/../b"}
		for _, key := range keys {
			_, err := client.Put(ctx, key, []byte(key), kvstore.Absent, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		for i, key := range keys {
			item, err := client.Get(ctx, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(item).To(Equal(kvstore.Item{Key: key, Value: []byte(key), Version: kvstore.Version(i + 1)}))
		}
		items, revision, err := client.List(ctx, "a/")
		Expect(err).NotTo(HaveOccurred())
		Expect(items).To(HaveLen(len(keys)))
		Expect(revision).To(BeEquivalentTo(len(keys)))
	})

	It("maps each protocol error to its kvstore error", func() {
		_, client := start(platformserver.Settings{})
		version, err := client.Put(ctx, "k", []byte("v"), kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
		current, err := client.Put(ctx, "k", []byte("w"), kvstore.Absent, 0)
		Expect(err).To(MatchError(kvstore.ErrConflict))
		Expect(current).To(Equal(version))
		Expect(client.Delete(ctx, "k", version+1)).To(MatchError(kvstore.ErrConflict))
		Expect(client.Delete(ctx, "k", version)).To(Succeed())
		_, err = client.Get(ctx, "k")
		Expect(err).To(MatchError(kvstore.ErrNotFound))
		Expect(client.Renew(ctx, 99)).To(MatchError(kvstore.ErrLeaseLost))
		_, err = client.Put(ctx, "k", make([]byte, kvstore.MaxValueBytes+1), kvstore.AnyVersion, 0)
		Expect(err).To(MatchError(kvstore.ErrTooLarge))
		_, err = client.Put(ctx, "k", bytes.Repeat([]byte("x"), kvstore.MaxValueBytes), kvstore.AnyVersion, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("reports a write whose response was lost as ambiguous, not as unavailable", func() {
		server, client := start(platformserver.Settings{})
		Expect(server.SetFaults(platformserver.Faults{LoseAnswers: 1})).To(Succeed())
		_, err := client.Put(ctx, "k", []byte("v"), kvstore.Absent, 0)
		Expect(err).To(MatchError(kvstore.ErrAmbiguous))
		item, err := client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(item.Value).To(Equal([]byte("v")))
	})

	It("reports refused connections as unavailable, since no request was sent", func() {
		server := platformserver.New(platformserver.Settings{})
		listening, stop := context.WithCancel(ctx)
		DeferCleanup(stop)
		address, _, err := server.Listen(listening, "127.0.0.1:0", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		client, err := httpstore.New(httpstore.Settings{URL: "http://" + address})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		Expect(server.SetFaults(platformserver.Faults{Outage: platformserver.OutageRefuse})).To(Succeed())
		_, err = client.Put(ctx, "k", []byte("v"), kvstore.Absent, 0)
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
		Expect(server.SetFaults(platformserver.Faults{})).To(Succeed())
		_, err = client.Put(ctx, "k", []byte("v"), kvstore.Absent, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("times out during a hanging outage, with an ambiguous error for a write that has no effect", func() {
		server := platformserver.New(platformserver.Settings{})
		web := httptest.NewServer(server.Handler())
		DeferCleanup(web.Close)
		timeout := 50 * time.Millisecond
		client, err := httpstore.New(httpstore.Settings{URL: web.URL, ReadTimeout: timeout, WriteTimeout: timeout})
		Expect(err).NotTo(HaveOccurred())
		Expect(server.SetFaults(platformserver.Faults{Outage: platformserver.OutageHang})).To(Succeed())
		_, err = client.Put(ctx, "k", []byte("v"), kvstore.Absent, 0)
		Expect(err).To(MatchError(kvstore.ErrAmbiguous))
		_, err = client.Get(ctx, "k")
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
		Expect(server.SetFaults(platformserver.Faults{})).To(Succeed())
		_, err = server.Store().Get(ctx, "k")
		Expect(err).To(MatchError(kvstore.ErrNotFound))
	})

	It("ends a waiting watch when an outage begins", func() {
		server, client := start(platformserver.Settings{})
		ended := make(chan error, 1)
		go func() {
			_, _, err := client.Watch(ctx, "", 0, time.Minute)
			ended <- err
		}()
		Eventually(server.Counters).Should(HaveKeyWithValue("watch", int64(1)))
		Expect(server.SetFaults(platformserver.Faults{Outage: platformserver.OutageRefuse})).To(Succeed())
		Eventually(ended, "5s").Should(Receive(MatchError(kvstore.ErrUnavailable)))
	})

	It("refuses calls above the rate limit and counts a watch as one call", func() {
		clock := clockwork.NewFakeClock()
		server, client := start(platformserver.Settings{
			Clock: clock, Limits: platformserver.Limits{WritesPerSecond: 1, ReadsPerSecond: 2},
		})
		_, err := client.Put(ctx, "k", nil, kvstore.AnyVersion, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(ctx, "k", nil, kvstore.AnyVersion, 0)
		Expect(err).To(MatchError(kvstore.ErrRateLimited))
		_, _, err = client.Watch(ctx, "", 0, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Get(ctx, "k")
		Expect(err).To(MatchError(kvstore.ErrRateLimited))
		clock.Advance(time.Second)
		_, err = client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Counters()).To(Equal(map[string]int64{"put": 2, "watch": 1, "get": 3, "rate_limited": 2}))
	})

	It("returns a new host list only after the host lag", func() {
		clock := clockwork.NewFakeClock()
		server, client := start(platformserver.Settings{Clock: clock, Limits: platformserver.Limits{HostLagMS: 1000}})
		server.SetHosts([]kvstore.Host{{Name: "a", State: kvstore.HostLive}})
		Expect(client.Hosts(ctx)).To(BeEmpty())
		clock.Advance(time.Second)
		server.SetHosts([]kvstore.Host{{Name: "a", State: kvstore.HostLeaving}})
		Expect(client.Hosts(ctx)).To(HaveExactElements(HaveField("State", kvstore.HostLive)))
		clock.Advance(time.Second)
		Expect(client.Hosts(ctx)).To(HaveExactElements(HaveField("State", kvstore.HostLeaving)))
	})

	It("makes a weight transfer wait for those reserved before it", func() {
		_, client := start(platformserver.Settings{
			Clock: clockwork.NewFakeClock(), Limits: platformserver.Limits{WeightBytesPerSecond: 100},
		})
		Expect(client.Reserve(ctx, "m", 200)).To(BeZero())
		Expect(client.Reserve(ctx, "m", 100)).To(Equal(2 * time.Second))
	})
})
