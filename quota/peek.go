package quota

import "time"

// tokenKind tells which tokens of an account the next request spends.
type tokenKind int

const (
	heldNone   tokenKind = iota // none but this front's own share
	heldOld                     // tokens of a coordinator that is lost
	heldLeased                  // tokens of the coordinator
	heldVoid                    // tokens of a coordinator that has not answered for too long
)

// held returns which tokens of an account the next request spends.
func (f *Front) held(a *account, now time.Time) tokenKind {
	l := f.links[a.coordinator]
	switch {
	case a.old > 0 && now.Before(a.oldUntil):
		return heldOld
	case a.tokens <= 0 || l == nil:
		return heldNone
	case l.expired(now):
		return heldVoid
	}
	return heldLeased
}

// Peek returns what Take would return now, and counts nothing.
func (f *Front) Peek(organisation string, now time.Time) (Decision, time.Duration) {
	limit, known := f.limits[organisation]
	if !known || limit.RatePerSecond <= 0 {
		return Admitted, 0
	}
	trial := account{key: organisationKey(organisation), name: organisation, limit: limit}
	if a := f.accounts[organisation]; a != nil {
		trial = *a
	}
	lost := false // a link whose tokens are void, which Take would end
	switch f.held(&trial, now) {
	case heldOld, heldLeased:
		return Admitted, 0
	case heldVoid:
		lost = true
	default:
		if f.spendOwn(&trial, now) {
			return Admitted, 0
		}
		l := f.links[trial.coordinator]
		lost = l != nil && l.number > 0 && !l.waiting && l.expired(now)
	}
	if lost {
		trial.detach(time.Time{}, now)
	}
	coordinator := trial.coordinator
	if coordinator == "" {
		coordinator = f.partitions[partitionOf(trial.key)].owner
	}
	if coordinator == "" || trial.unknown || now.Before(trial.emptyUntil) {
		return Refused, trial.retryAfter(now)
	}
	return Ask, 0
}
