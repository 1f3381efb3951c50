package node

import "time"

// storeContact holds the times of an incarnation's last contacts with the
// platform store. They show whether another node may have taken over its shards
// without this node having learned of it.
type storeContact struct {
	lastAnswer  time.Time // when the store last confirmed a renewal or a commit
	leaseLapsed time.Time // when this node last found that its lease had lapsed; zero if never
	lastCommit  time.Time // last commit to the journal, which a takeover fences
}

func (i *incarnation) storeContact() storeContact {
	session, lastCommit := i.session.State(), i.writer.State().LastCommit
	lastAnswer := session.LastRenewal
	if lastCommit.After(lastAnswer) {
		lastAnswer = lastCommit
	}
	return storeContact{lastAnswer: lastAnswer, leaseLapsed: session.LapsedAt, lastCommit: lastCommit}
}

// storeSilence returns the time since the platform store last answered.
func (c storeContact) storeSilence(now time.Time) time.Duration { return now.Sub(c.lastAnswer) }

// mayBeTakenOver reports whether the shards may have another owner. That is so if
// the store has not answered for leaseTTL, as after a pause of the process, or if
// the lease has lapsed and nodes that saw it may still be taking over. Two things
// rule out a takeover after a lapse: a later commit, because a takeover would
// have fenced the journal, and the passing of two lease periods, within which it
// would have done so.
func (c storeContact) mayBeTakenOver(now time.Time, leaseTTL time.Duration) bool {
	if c.storeSilence(now) >= leaseTTL {
		return true
	}
	return !c.leaseLapsed.IsZero() && !c.lastCommit.After(c.leaseLapsed) && now.Sub(c.leaseLapsed) < 2*leaseTTL
}
