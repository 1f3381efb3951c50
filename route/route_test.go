package route_test

import (
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
