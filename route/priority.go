package route

import "slices"

// Priority returns the priority of an organisation's requests on a route: first that of
// the organisation, then that of the route. 0 is the most urgent; without organisations
// it is the route's. Requests of no organisation rank with those of the least urgent ones.
func (t *Table) Priority(organisation string, r *Route) int {
	organisations, routes := t.priorities()
	if len(organisations) == 0 {
		return r.Priority
	}
	first := len(organisations) - 1
	if known := t.Organisations[organisation]; known != nil {
		first, _ = slices.BinarySearch(organisations, known.Priority)
	}
	second, _ := slices.BinarySearch(routes, r.Priority)
	return first*len(routes) + second
}

// PriorityLevels returns the number of values that Priority returns; 0 if the table has no
// organisations, whose routes have any priority.
func (t *Table) PriorityLevels() int {
	organisations, routes := t.priorities()
	return len(organisations) * len(routes)
}

// priorities returns the priorities of organisations and of routes that occur.
func (t *Table) priorities() (organisations, routes []int) {
	for _, o := range t.Organisations {
		organisations = append(organisations, o.Priority)
	}
	for _, ofHost := range t.byHost {
		for i := range ofHost {
			routes = append(routes, ofHost[i].Priority)
		}
	}
	slices.Sort(organisations)
	slices.Sort(routes)
	return slices.Compact(organisations), slices.Compact(routes)
}
