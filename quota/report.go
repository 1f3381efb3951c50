package quota

import "time"

// Report returns what the front says to a coordinator now. It reports false if there is
// nothing to say. A report whose predecessor was not answered begins a new epoch.
func (f *Front) Report(coordinator string, now time.Time) (Report, bool) {
	if l := f.links[coordinator]; l != nil && (l.waiting || l.number > 0 && l.expired(now)) {
		f.lose(coordinator, now)
	}
	delegated := f.delegate(coordinator, now)
	l := f.links[coordinator]
	if l == nil && delegated == 0 {
		return Report{}, false
	}
	l = f.link(coordinator)
	if delegated == 0 && l.delegated == 0 && len(l.dirty) == 0 {
		return Report{}, false
	}
	l.number++
	l.sent, l.delegated, l.waiting, l.urgent = now, delegated, true, false
	report := Report{Epoch: l.epoch, Number: l.number, Delegated: delegated, Share: f.fleet.Share()}
	for a := range l.dirty {
		report.Uses = append(report.Uses, f.use(a, now))
	}
	clear(l.dirty)
	return report, true
}

// delegate decides which partitions a report to a coordinator delegates.
func (f *Front) delegate(coordinator string, now time.Time) uint64 {
	delegated := uint64(0)
	if len(f.limits) == 0 {
		return 0
	}
	for i := range f.partitions {
		p := &f.partitions[i]
		if p.owner != coordinator {
			continue
		}
		if p.holder == "" && !now.Before(p.free) && f.fleet.Share() > 0 {
			p.holder = coordinator
		}
		if p.holder == coordinator {
			delegated |= 1 << i
		}
	}
	return delegated
}

// use returns what a report says about an account, which is handed back if its partition
// belongs to another coordinator now, or if the organisation sends nothing any more.
func (f *Front) use(a *account, now time.Time) Use {
	a.measure(now)
	moved := f.partitions[partitionOf(a.key)].owner != a.coordinator
	final := a.waiting == 0 && (moved || now.Sub(a.lastUse) >= idleTime)
	keep := 2 * a.wanted
	if now.Before(a.scarceUntil) {
		keep = 0 // others have requests that wait
	}
	if surplus := a.tokens - keep; final {
		a.returned += a.tokens
		a.tokens = 0
	} else if surplus > 0 {
		a.returned += surplus
		a.tokens -= surplus
	}
	u := Use{
		Organisation: a.key, Spent: a.spent, Returned: a.returned, GivenBack: a.givenBack, Wanted: a.wanted, Waiting: a.waiting - a.starting, Final: final,
		Starting: a.starting, Started: a.started,
	}
	a.spent, a.returned, a.givenBack, a.started, a.reported = 0, 0, 0, 0, a.tickets
	if final {
		a.coordinator = ""
	}
	return u
}

// Learn takes in the answer to the last report.
func (f *Front) Learn(coordinator string, reply Reply, now time.Time) {
	l := f.links[coordinator]
	if l == nil || !l.waiting || reply.Number != l.number {
		return // of an earlier epoch
	}
	l.waiting, l.answered = false, l.sent
	for i := range f.partitions {
		if p := &f.partitions[i]; p.holder == coordinator && l.delegated&(1<<i) == 0 {
			p.holder, p.free = "", now // the coordinator has taken notice
		}
	}
	for _, grant := range reply.Grants {
		a := f.byKey[grant.Organisation]
		if a == nil || a.coordinator != coordinator {
			continue
		}
		a.asked, a.answered, a.unknown, a.rate = false, a.reported, grant.Unknown, grant.Rate
		a.tokens += grant.Tokens
		a.permits += grant.Starts
		a.scarceUntil = time.Time{}
		if grant.NextStart > 0 {
			a.scarceUntil, a.nextStart = now.Add(scarceMemory), now.Add(grant.NextStart)
		}
		a.emptyUntil = time.Time{}
		if grant.Next > 0 {
			a.emptyUntil = now.Add(grant.Next)
		}
		switch {
		case grant.Unknown: // looked up again with the next request after a while
			a.emptyUntil = now.Add(sweepInterval)
			l.dirty[a] = true
		case a.tokens > a.waiting:
			a.nextRetry = now
		}
	}
}

// sweep reports on the accounts whose demand has fallen, and forgets those that are idle.
func (f *Front) sweep(now time.Time) {
	if now.Sub(f.swept) < sweepInterval {
		return
	}
	f.swept = now
	for name, a := range f.accounts {
		l := f.links[a.coordinator]
		switch {
		case l != nil:
			if a.measure(now); a.tokens > 2*a.wanted || now.Sub(a.lastUse) >= idleTime {
				l.dirty[a] = true
			}
		case now.Sub(a.lastUse) >= idleTime && a.waiting == 0:
			delete(f.accounts, name)
			delete(f.byKey, a.key)
		}
	}
}

// Counts returns the number of organisations that the front knows, and of partitions
// whose share a coordinator may spend.
func (f *Front) Counts() (organisations, delegated int) {
	for _, p := range f.partitions {
		if p.holder != "" {
			delegated++
		}
	}
	return len(f.accounts), delegated
}
