package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/route"
	"dogwoodline.example/urgency"
)

var _ = Describe("The rank of a call at a model server", func() {
	now := time.Now()
	inTime := &urgency.Assessment{InTimeUntil: now.Add(time.Hour), LateUntil: now.Add(2 * time.Hour)}
	late := &urgency.Assessment{InTimeUntil: now.Add(-time.Hour), LateUntil: now.Add(time.Hour)}
	lost := &urgency.Assessment{InTimeUntil: now.Add(-2 * time.Hour), LateUntil: now.Add(-time.Hour)}

	// Guards against less urgent routes that are served better than more urgent ones, and
	// against programs that are lost and delay others.
	It("follows priority, then urgency, and lost programs go last", func() {
		table := route.NewTable(1, []route.Route{{Host: "h", Prefix: "/a"}, {Host: "h", Prefix: "/b", Priority: 2}}, nil, route.Limits{})
		less, _ := table.Match("h", "/b")
		Expect(table.Priority("", less)).To(Equal(2), "without organisations it is the route's")
		Expect(orderedRank(2, 0, urgency.Late)).To(Equal(5))
		Expect(orderedRank(7, 0, urgency.Late)).To(Equal(8))
		table.SetOrganisations(route.NewOrganisationIndex([]*route.OrganisationEntry{
			route.NewOrganisationEntry(route.Organisation{Name: "first"}, nil), route.NewOrganisationEntry(route.Organisation{Name: "second", Priority: 1}, nil),
		}))
		previous := -1
		for _, organisation := range []string{"first", "second"} {
			for _, path := range []string{"/a", "/b"} {
				r, _ := table.Match("h", path)
				level, levels := table.Priority(organisation, r), table.PriorityLevels()
				Expect(levels).To(Equal(4))
				for _, u := range []*urgency.Assessment{inTime, late} {
					rank := rankOf(&job{route: r, priority: level, priorityLevels: levels, urgency: u})
					Expect(rank).To(BeNumerically(">", previous))
					previous = rank
				}
				Expect(rankOf(&job{route: r, priority: level, priorityLevels: levels, urgency: lost})).To(Equal(lostRank))
			}
		}
		Expect(previous).To(BeNumerically("<", lostRank))
	})

	// Guards against ranks beyond those that model servers know.
	It("stays within the ranks however many priorities there are", func() {
		for levels := 1; levels < 40; levels++ {
			previous := 0
			for level := range levels {
				rank := orderedRank(level, levels, urgency.Late)
				Expect(rank).To(And(BeNumerically(">=", previous), BeNumerically("<", lostRank)))
				previous = rank
			}
		}
	})

	// Guards against a change for deployments whose calls are not ordered by urgency.
	It("is as before where calls are not ordered by urgency", func() {
		Expect(rankOf(&job{route: &route.Route{Priority: 2}, priority: 2})).To(Equal(4))
		Expect(rankOf(&job{route: &route.Route{Priority: 2}, priority: 2, startsProgram: true})).To(Equal(5))
	})
})
