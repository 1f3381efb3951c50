package turnstore

// gaps holds the turns that a store lacks although it has turns that continue them,
// by id. The store-writer goroutine owns it.
type gaps map[string]*gap

// gap is one turn that is not held.
type gap struct {
	expires int64 // Unix ms; the latest expiry of the turns that continue it
}

// extend records that the turn is not held, and that it is needed until the given
// time at least.
func (g gaps) extend(id string, expires int64) {
	known := g[id]
	if known == nil {
		known = &gap{}
		g[id] = known
	}
	known.expires = max(known.expires, expires)
}

// fill removes the gap of a turn that has arrived. It returns until when the turn is
// needed, or 0 if there was no gap.
func (g gaps) fill(id string) int64 {
	known := g[id]
	if known == nil {
		return 0
	}
	delete(g, id)
	return known.expires
}

// expire removes the gaps whose later turns expire before the given time.
func (g gaps) expire(limit int64) {
	for id, known := range g {
		if known.expires < limit {
			delete(g, id)
		}
	}
}
