package node

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/membership"
	"dogwoodline.example/resource"
	"dogwoodline.example/schedule"
)

var _ = Describe("polled", func() {
	var view *membership.View
	busy := map[string]busyPools{}
	set := resource.NewSet().With(
		resource.Change{ID: resource.ID{Kind: resource.KindBackend, Name: "b"}, Version: 1, Spec: &resource.Backend{Pool: "p"}})
	node := func(self string) *polled {
		return &polled{self: self, set: func() *resource.Set { return set },
			view: func() *membership.View { return view }, busy: func() busyPools { return busy[self] }}
	}
	names := []string{"n1", "n2", "n3", "n4"}
	members := func(names []string) *membership.View {
		v := &membership.View{}
		for _, name := range names {
			v.Members = append(v.Members, membership.Member{ID: name, Incarnation: name})
		}
		return v
	}

	// Guards against a backend server that no node or every node polls, also
	// after the node that polled it has gone.
	It("leaves each backend server to one node, and to another when that one is gone", func() {
		nodes := map[string]*polled{}
		for _, name := range names {
			nodes[name] = node(name)
		}
		for left := names; len(left) > 0; {
			view = members(left)
			var polling, others []string
			for _, name := range left {
				if nodes[name].scheduled("b") {
					polling = append(polling, name)
				} else {
					others = append(others, name)
				}
			}
			Expect(polling).To(HaveLen(1))
			left = others
		}
		Expect(nodes["n1"].scheduled(schedule.BackendID("unknown"))).To(BeFalse())
	})

	// Guards against a node that grants for itself, because the granting node
	// is lost, without load reports.
	It("polls the backend servers of pools for which a node holds calls", func() {
		view = members(names)
		for _, name := range names {
			busy[name] = busyPools{"p": {}}
			Expect(node(name).scheduled("b")).To(BeTrue())
			delete(busy, name)
		}
	})
})
