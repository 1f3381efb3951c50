package node

import "time"

// ownership is what tells whether this incarnation may have lost its shards to
// another node without having heard of it.
type ownership struct {
	answered  time.Time // when the store last answered
	lapsed    time.Time // when the lease was last found to have lapsed
	committed time.Time // when the journal, which a takeover fences, last took a commit
}

func (i *incarnation) ownership() ownership {
	session, commit := i.session.State(), i.writer.State().LastCommit
	answered := session.LastRenewal
	if commit.After(answered) {
		answered = commit
	}
	return ownership{answered: answered, lapsed: session.LapsedAt, committed: commit}
}

// silence is the time since the store last answered.
func (o ownership) silence(now time.Time) time.Duration { return now.Sub(o.answered) }

// doubtful reports whether the shards may have another owner: the store has
// been silent for a lease, as after a pause, or the lease has lapsed and those
// who saw it may still be taking over. A commit after the lapse ends the doubt,
// and so does the time in which a takeover would have fenced the journal.
func (o ownership) doubtful(now time.Time, lease time.Duration) bool {
	if o.silence(now) >= lease {
		return true
	}
	return !o.lapsed.IsZero() && !o.committed.After(o.lapsed) && now.Sub(o.lapsed) < 2*lease
}
