package turnstore

// gaps holds the turns that a store lacks although it has turns that continue them,
// by id. The store-writer goroutine owns it.
type gaps map[string]*gap

// gap is one turn that is not held.
type gap struct {
	expires int64 // Unix ms; the latest expiry of the turns that continue it
	listed  bool  // it was there at an earlier call of due
	absent  bool  // no other store has the turn
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

// due returns up to limit turns that should be copied from other stores: those that
// were missing at an earlier call too, because a turn may arrive shortly after one
// that continues it.
func (g gaps) due(limit int) []string {
	var ids []string
	for id, known := range g {
		if known.listed && !known.absent && len(ids) < limit {
			ids = append(ids, id)
		}
		known.listed = true
	}
	return ids
}

// setAbsent records that no other store has the turns, so that they are not due.
func (g gaps) setAbsent(ids []string) {
	for _, id := range ids {
		if known := g[id]; known != nil {
			known.absent = true
		}
	}
}
