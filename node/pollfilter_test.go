package node

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/membership"
	"dogwoodline.example/resource"
	"dogwoodline.example/schedule"
)

var _ = Describe("pollFilter", func() {
	var view *membership.View
	busy := map[string]busyPools{}
	set := resource.NewSet().With(
		resource.Change{ID: resource.ID{Kind: resource.KindBackend, Name: "b"}, Version: 1, Spec: &resource.Backend{Pool: "p"}})
	node := func(self string) *pollFilter {
		return &pollFilter{self: self, resources: func() *resource.Set { return set },
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

	// Guards against a backend server that no node or several nodes poll, also
	// after the node that polled it has left.
	It("assigns each backend server to one node, and to another one when that node has left", func() {
		nodes := map[string]*pollFilter{}
		for _, name := range names {
			nodes[name] = node(name)
		}
		for left := names; len(left) > 0; {
			view = members(left)
			var polling, others []string
			for _, name := range left {
				if nodes[name].shouldPoll("b") {
					polling = append(polling, name)
				} else {
					others = append(others, name)
				}
			}
			Expect(polling).To(HaveLen(1))
			left = others
		}
		Expect(nodes["n1"].shouldPoll(schedule.BackendID("unknown"))).To(BeFalse())
	})

	// Guards against a node that grants slots itself, because the granting node
	// is unreachable, and has no load reports to base its decisions on.
	It("polls the backend servers of all pools for which the node has calls", func() {
		view = members(names)
		for _, name := range names {
			busy[name] = busyPools{"p": {}}
			Expect(node(name).shouldPoll("b")).To(BeTrue())
			delete(busy, name)
		}
	})
})
