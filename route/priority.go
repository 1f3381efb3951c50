package route

import (
	"cmp"
	"slices"
)

// Priority ranks requests by their organisation first, then by their route; lower
// values go first.
type Priority struct{ Organisation, Route int }

// Compare returns a negative number if p goes before q.
func (p Priority) Compare(q Priority) int {
	return cmp.Or(cmp.Compare(p.Organisation, q.Organisation), cmp.Compare(p.Route, q.Route))
}

// PriorityOf returns the priority of an organisation's requests on a route. Requests
// without an organisation rank as those of the most urgent organisations.
func (t *Table) PriorityOf(organisation string, r *Route) Priority {
	p := Priority{Route: r.Priority}
	if known := t.Organisations[organisation]; known != nil {
		p.Organisation = known.Priority
	}
	return p
}

// Priorities returns all priorities that requests can have, the most urgent first.
func (t *Table) Priorities() []Priority {
	organisations := []int{0}
	for _, o := range t.Organisations {
		organisations = append(organisations, o.Priority)
	}
	var routes []int
	for _, ofHost := range t.byHost {
		for i := range ofHost {
			routes = append(routes, ofHost[i].Priority)
		}
	}
	var all []Priority
	for _, o := range distinct(organisations) {
		for _, r := range distinct(routes) {
			all = append(all, Priority{Organisation: o, Route: r})
		}
	}
	return all
}

func distinct(values []int) []int {
	slices.Sort(values)
	return slices.Compact(values)
}
