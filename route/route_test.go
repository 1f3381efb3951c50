package route_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var _ = Describe("Table", func() {
	table := route.NewTable(1, []route.Route{
		{Name: "short", Host: "a", Prefix: "/x/"}, {Name: "long", Host: "a", Prefix: "/x/y/"}, {Name: "other", Host: "b", Prefix: "/"},
	}, nil, route.Limits{})

	It("prefers the longest prefix of the request's host", func() {
		found, ok := table.Match("a", "/x/y/z")
		Expect(ok).To(BeTrue())
		Expect(found.Name).To(Equal("long"))
		found, _ = table.Match("a", "/x/z")
		Expect(found.Name).To(Equal("short"))
	})

	It("does not match a part of a path element, or another host", func() {
		_, ok := table.Match("a", "/xy/z")
		Expect(ok).To(BeFalse())
		_, ok = table.Match("c", "/x/z")
		Expect(ok).To(BeFalse())
	})

	It("splits requests by weight, and picks a service for every draw", func() {
		r := route.Route{Shares: []route.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
		counts := map[string]int{}
		for i := range 100 {
			counts[r.PickService(float64(i)/100)]++
		}
		Expect(counts).To(Equal(map[string]int{"a": 75, "b": 25}))
		Expect(r.PickService(1)).To(Equal("b"))
	})

	It("allows only safe requests to be repeated", func() {
		for kind, may := range map[route.Kind]bool{route.Safe: true, route.Unsafe: false, route.Streaming: false} {
			Expect((&route.Route{Kind: kind}).MayRepeat()).To(Equal(may))
		}
	})
})

var _ = Describe("Organisations", func() {
	table := func(priorities ...int) *route.Table {
		t := route.NewTable(1, []route.Route{{Name: "x", Priority: 0}, {Name: "y", Priority: 2}}, nil, route.Limits{})
		var list []*route.OrganisationEntry
		for i, p := range priorities {
			list = append(list, route.NewOrganisationEntry(route.Organisation{Name: fmt.Sprint(i), Priority: p, RatePerSecond: float64(i + 1)}, []string{fmt.Sprint("k", i)}))
		}
		t.SetOrganisations(route.NewOrganisationIndex(list))
		return t
	}
	first, last := &route.Route{Priority: 0}, &route.Route{Priority: 2}

	// Guards against a route's priority that counts for more than its organisation's.
	It("rank before routes", func() {
		t := table(7, 3, 7)
		Expect([]int{t.Priority("1", first), t.Priority("1", last), t.Priority("0", first), t.Priority("2", last)}).To(Equal([]int{0, 1, 2, 3}))
		Expect(t.Priority("", last)).To(Equal(3), "requests without organisation go last")
		Expect(t.PriorityLevels()).To(Equal(4))
	})
	It("leave the priorities of routes as they are where there are none", func() {
		t := route.NewTable(1, []route.Route{{Priority: 2}}, nil, route.Limits{})
		Expect(t.Priority("", last)).To(Equal(2))
		Expect(t.PriorityLevels()).To(BeZero())
		_, known := t.OrganisationOfKey("")
		Expect(known).To(BeFalse())
	})
	It("with the highest limits are the same at all fronts", func() {
		t := table(make([]int, 50)...)
		Expect(t.IsLarge("49")).To(BeTrue())
		Expect(t.IsLarge("30")).To(BeTrue())
		Expect(t.IsLarge("29")).To(BeFalse())
	})
})
