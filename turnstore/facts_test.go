package turnstore

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/turnstore/turnpb"
)

func factOf(key string, version uint64, value string, left time.Duration) Fact {
	return Fact{Key: key, Version: version, Value: []byte(value), Expires: time.Now().Add(left)}
}

var _ = Describe("Facts", func() {
	It("are replaced by newer ones only, and stay in the segment that has them", func() {
		s := newState()
		applyIn(s, factOf("k", 2, "new", time.Hour).Record(), 1)
		Expect(applyIn(s, factOf("k", 1, "late", time.Hour).Record(), 2)).To(BeFalse())
		Expect(s.facts.get("k").Value).To(Equal([]byte("new")))
		Expect(s.liveThrough(1)).To(HaveLen(1))
		moveTo(s, 3, 1)
		Expect(s.liveThrough(2)).To(BeEmpty())
	})

	// Guards against memory that grows with each stream, and with each new version of
	// a fact that never expires.
	It("are bounded, and leave nothing behind", func() {
		s := newState()
		for i := range maxFacts + 10 {
			applyIn(s, factOf(fmt.Sprint("k", i), 1, "value", time.Minute).Record(), 1)
		}
		Expect(s.facts.byKey).To(HaveLen(maxFacts))
		Expect(s.facts.get("k9").Version).To(BeZero(), "the oldest are dropped")
		for version := range uint64(100) {
			applyIn(s, factOf("again", version+1, "value", time.Minute).Record(), 1)
		}
		s.expire(time.Now())
		records, _, _ := pageOf(s, 0, 1<<30, false)
		Expect(records).To(HaveLen(maxFacts), "a joining store gets each once")
		s.expire(time.Now().Add(time.Hour))
		Expect(s.facts.byKey).To(BeEmpty())
		Expect(s.facts.order).To(BeEmpty())
		Expect(s.applied).To(BeEmpty())
		Expect(s.bytes).To(BeZero())
	})

	// Guards against streams whose origin is lost with the power of all stores, or
	// with a disk (report of another operator, issue 26).
	It("are known after all stores have restarted, and after a disk was replaced", func() {
		c := newCluster("a", "b", "c")
		fact := factOf("stream/x", 1, "v1", time.Hour)
		Expect(do(c.newClient(), Operation{Records: []*turnpb.Record{fact.Record()}}).Verdict).To(Equal(Stored))
		for _, host := range []string{"a", "b", "c"} {
			s := c.stores[host]
			c.stop(s)
			c.start(host, s.folder)
		}
		c.stop(c.stores["a"])
		c.start("a", GinkgoT().TempDir())
		c.stop(c.stores["b"])
		read := do(c.newClient(), Operation{FactKey: "stream/x"})
		Expect(read.Verdict).To(Equal(Stored))
		Expect(read.Fact.Value).To(Equal([]byte("v1")))
		missing := do(c.newClient(), Operation{FactKey: "stream/y", Records: []*turnpb.Record{reserve("r", 1)}, Budget: 10})
		Expect(missing.Verdict).To(Equal(Stored))
		Expect(missing.Fact.Version).To(BeZero())
	})

	// Guards against fronts that never hear that another one has no links to backend
	// servers, or hear it for ever (RECOVER, issue 26).
	It("that are announced reach all front servers, the newest last, also after all stores have restarted", func() {
		c := newCluster("a", "b", "c")
		announce := func(version uint64, value string) {
			fact := factOf("front/x", version, value, time.Hour)
			fact.Announced = true
			Expect(do(c.newClient(), Operation{Records: []*turnpb.Record{fact.Record()}}).Verdict).To(Equal(Stored))
		}
		newest := func(client *Client) func() string {
			known := Fact{}
			return func() string {
				for fact, ok := client.Announced().TryPop(); ok; fact, ok = client.Announced().TryPop() {
					if fact.Version > known.Version {
						known = fact
					}
				}
				return string(known.Value)
			}
		}
		listener := newest(c.newClient())
		announce(1, "cut off")
		Eventually(listener, "3s", "10ms").Should(Equal("cut off"))
		announce(2, "back")
		Eventually(listener, "3s", "10ms").Should(Equal("back"))
		for _, host := range []string{"a", "b", "c"} {
			s := c.stores[host]
			c.stop(s)
			c.start(host, s.folder)
		}
		Eventually(newest(c.newClient()), "3s", "10ms").Should(Equal("back"))
	})
})
