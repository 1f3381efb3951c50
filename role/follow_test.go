package role

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/copyset"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/newsfeed"
	"dogwoodline.example/platform"
)

func TestRole(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "role")
}

// recorder records the calls to a subscription and to onStoreLost.
type recorder struct {
	changed, deleted     []string
	recentOutage         []bool
	listCalls, lostCalls int
}

func newFollower(r *recorder) *follower {
	return &follower{
		log: slog.New(slog.DiscardHandler), onStoreLost: func(context.Context) { r.lostCalls++ },
		subscriptions: []subscription{{
			prefix: "servers/",
			onChange: func(_ context.Context, item kvstore.Item, deleted, recentOutage bool) {
				if deleted {
					r.deleted = append(r.deleted, item.Key)
				} else {
					r.changed = append(r.changed, item.Key)
				}
				r.recentOutage = append(r.recentOutage, recentOutage)
			},
			onList: func(context.Context, map[string]bool, bool) { r.listCalls++ },
		}},
	}
}

func item(key string) kvstore.Item { return kvstore.Item{Key: key, Value: []byte("{}"), Version: 1} }

var _ = Describe("Follower", func() {
	ctx := context.Background()

	It("passes to a subscription only the keys with its prefix", func() {
		r := &recorder{}
		f := newFollower(r)
		f.Listed(ctx, []kvstore.Item{item("servers/a"), item("op/config")}, 1)
		f.Changed(ctx, []kvstore.Event{{Item: item("servers/b")}, {Item: item("member/x")}, {Item: item("servers/a"), Deleted: true}}, 2)
		Expect(r.changed).To(Equal([]string{"servers/a", "servers/b"}))
		Expect(r.deleted).To(Equal([]string{"servers/a"}))
		Expect(r.recentOutage).To(HaveEach(false))
	})

	// Entries whose leases lapsed during an outage are back within two seconds.
	// Until then a subscription must not take them for gone.
	It("reports a recent outage after the store is regained, and each outage once", func() {
		r := &recorder{}
		f := newFollower(r)
		f.Listed(ctx, nil, 1)
		f.Failed(ctx, errors.New("down"))
		f.Failed(ctx, errors.New("still down"))
		Expect(r.lostCalls).To(Equal(1))
		f.Listed(ctx, []kvstore.Item{item("servers/a")}, 2)
		f.Changed(ctx, []kvstore.Event{{Item: item("servers/a"), Deleted: true}}, 3)
		Expect(r.recentOutage).To(Equal([]bool{true, true}))
		Expect(r.listCalls).To(Equal(2))
	})

	It("does not treat a compacted history as an outage, after which missing entries would be kept", func() {
		r := &recorder{}
		f := newFollower(r)
		f.Failed(ctx, kvstore.ErrCompacted)
		Expect(r.lostCalls).To(BeZero())
		f.Listed(ctx, []kvstore.Item{item("servers/a")}, 2)
		Expect(r.recentOutage).To(Equal([]bool{false}))
	})

	It("ignores a copy set that cannot be decoded", func() {
		var applied []uint64
		sub := copySetSubscription(slog.New(slog.DiscardHandler), func(_ context.Context, set copyset.Set) { applied = append(applied, set.Version) })
		sub.onChange(ctx, kvstore.Item{Key: copyset.Key, Value: []byte("{"), Version: 3}, false, false)
		sub.onChange(ctx, kvstore.Item{Key: copyset.Key, Value: []byte(`{"members":[]}`), Version: 4}, false, false)
		Expect(applied).To(Equal([]uint64{4}))
	})

	// Guards against stores that watch the platform's store too often: on the
	// enlarged deployments a store watched it five times a second, which was more
	// than all fronts together.
	It("delays a store's batches for fronts, but less while the copy set changes", func() {
		host := platform.Host{MaxReactionTime: 3 * time.Second}
		Expect(storeBatchDelay(host, true)).To(Equal(500 * time.Millisecond))
		Expect(storeBatchDelay(host, false)).To(Equal(200 * time.Millisecond))
		Expect(storeBatchDelay(host, true) + storeWatchWait).To(BeNumerically("<", newsfeed.StaleAfter))
	})

	It("lists the feeds in a front's own availability zone first", func() {
		members := map[string]membership.Member{
			"f": {ID: "f", HTTP: "1:1", Zone: "z"}, "s1": {ID: "s1", GRPC: "2:2", Disk: "d1", Zone: "y"},
			"s2": {ID: "s2", GRPC: "3:3", Disk: "d2", Zone: "z"}, "s3": {ID: "s3", GRPC: "4:4", Disk: "d3", Zone: "z", Draining: true},
		}
		Expect(feedAddresses(members, platform.Host{Name: "f", AvailabilityZone: "z"})).To(Equal([]string{"3:3", "2:2"}))
	})

	It("lists only fronts that are not draining", func() {
		fronts := activeFronts(map[string]membership.Member{
			"a": {ID: "a", HTTP: "1:1", Zone: "z"}, "b": {ID: "b", HTTP: "2:2", Draining: true}, "c": {ID: "c", GRPC: "3:3", Disk: "d"},
		})
		Expect(fronts).To(HaveLen(1))
		Expect(fronts[0].Address).To(Equal("1:1"))
	})
})
