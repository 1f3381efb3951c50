package membership_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var _ = Describe("Choose", func() {
	a := membership.Member{ID: "a", Incarnation: "a1", Zone: "z1"}
	b := membership.Member{ID: "b", Incarnation: "b1", Zone: "z1"}
	c := membership.Member{ID: "c", Incarnation: "c1", Zone: "z2"}

	It("puts the owner first and the second choice in another availability zone", func() {
		v := &membership.View{Members: []membership.Member{a, b, c}}
		for _, program := range []string{"p", "q", "r", "s"} {
			first, second := membership.Choose(v, program, "a1")
			Expect(*first).To(Equal(a))
			Expect(*second).To(Equal(c))
		}
	})

	It("never returns a draining member, not even the owner", func() {
		drained := a
		drained.Draining = true
		v := &membership.View{Members: []membership.Member{drained, b}}
		first, second := membership.Choose(v, "p", "a1")
		Expect(*first).To(Equal(b))
		Expect(second).To(BeNil())
	})

	It("returns nothing without members", func() {
		first, second := membership.Choose(&membership.View{}, "p", "a1")
		Expect(first).To(BeNil())
		Expect(second).To(BeNil())
	})
})
