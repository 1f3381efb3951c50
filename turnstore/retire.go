package turnstore

import (
	"context"
	"errors"
	"time"

	"dogwoodline.example/copyset"
	"dogwoodline.example/kvstore"
)

const (
	// retireWaitShare is the part of an order's time for which a disk stays a
	// member although it could leave, if its leaving lets the copy set survive
	// fewer losses. The rest is for the transfer and for a slow platform store.
	retireWaitShare = 0.5
	// retireReserve is the time before the end of an order from which on the disk
	// leaves even if another member is missing.
	retireReserve = 1500 * time.Millisecond
)

// RetireOrder is the operator's order to empty a disk.
type RetireOrder struct {
	// Within is the time in which the disk must be empty; 0 means at once.
	Within time.Duration
}

// RetireReport returns the key and value to write to the platform store when
// the retirement of the disk has begun (done is false) or is complete.
type RetireReport func(done bool) (key string, value []byte)

// retirement is the progress of an order to retire the disk.
type retirement struct {
	order         RetireOrder
	orderedAt     time.Time
	beginReported bool              // the start was reported to the operator
	endReported   bool              // the end was reported to the operator
	sent          map[string]uint64 // by disk: the cursor up to which that member has the records
	leavingFrom   uint64            // the copy set version that the last attempt to leave was based on
}

func newRetirement(order RetireOrder, now time.Time) *retirement {
	return &retirement{order: order, orderedAt: now, sent: map[string]uint64{}}
}

// complete reports whether the operator knows that the disk is empty.
func (r *retirement) complete() bool { return r != nil && r.endReported }

// leaveTime returns when the disk should leave the copy set. A disk whose leaving
// costs tolerance stays a member for some time, and longer while another member
// is missing, because the remaining members could then not form a majority.
func (r *retirement) leaveTime(costsTolerance, othersPresent bool) time.Time {
	wait := time.Duration(0)
	switch {
	case costsTolerance && !othersPresent:
		wait = max(0, r.order.Within-retireReserve)
	case costsTolerance:
		wait = time.Duration(retireWaitShare * float64(r.order.Within))
	}
	return r.orderedAt.Add(wait)
}

// retire copies the records of this disk to the other members, leaves the copy
// set when that is due, and reports both the start and the end to the operator.
func (j *Joiner) retire(ctx context.Context, now time.Time) {
	r := j.retirement
	if !r.beginReported {
		r.beginReported = j.reportRetirement(ctx, false)
	}
	if _, member := j.copySet.Find(j.self.Disk); member && !j.leave(ctx, now) {
		return
	}
	j.server.Refuse(true)
	r.endReported = j.reportRetirement(ctx, true)
}

// leave copies the records and leaves the copy set if that is due. It reports
// whether the disk has left.
func (j *Joiner) leave(ctx context.Context, now time.Time) bool {
	if j.copySet.Version != j.retirement.leavingFrom {
		j.server.Refuse(false) // an earlier attempt to leave can no longer take effect
	}
	next, allowed := j.copySet.Leave(j.self.Disk, j.tolerated)
	if !allowed {
		j.log.Warn("turnstore: disk not retired, too few other members are ready", "members", len(j.copySet.Members))
		return false
	}
	if !j.pushToMajority(ctx, next) || now.Before(j.retirement.leaveTime(j.copySet.LeavingCostsTolerance(j.self.Disk, j.tolerated), j.othersPresent())) {
		return false
	}
	// From here on no majority may include this disk: a record that it accepted
	// after the transfer would be on too few of the remaining members.
	j.server.Refuse(true)
	if !j.pushToMajority(ctx, next) {
		j.server.Refuse(false)
		return false
	}
	j.retirement.leavingFrom = j.copySet.Version
	err := j.replaceCopySet(ctx, next, "retires")
	if errors.Is(err, kvstore.ErrConflict) {
		j.server.Refuse(false)
	}
	// After any other error the write may still take effect, so the disk keeps
	// refusing until a further attempt has a clear result.
	return err == nil
}

// othersPresent reports whether all other members are ready and registered.
func (j *Joiner) othersPresent() bool {
	for _, m := range j.copySet.Members {
		if m.Disk != j.self.Disk && (!m.Ready || j.registered != nil && !j.registered[m.Disk]) {
			return false
		}
	}
	return true
}

func (j *Joiner) reportRetirement(ctx context.Context, done bool) bool {
	key, value := j.report(done)
	if _, err := j.store.Put(ctx, key, value, kvstore.AnyVersion, 0); err != nil {
		j.log.Warn("turnstore: retirement not reported", "done", done, "error", err)
		return false
	}
	j.log.Info("turnstore: retirement reported", "disk", j.self.Disk, "done", done,
		"since_order_ms", time.Since(j.retirement.orderedAt).Milliseconds())
	return true
}

// pushToMajority stores the records of this disk at a majority of the next set,
// the nearest members first, except the records that these have already. It
// reports whether every read quorum of that set then includes one with all of
// them.
func (j *Joiner) pushToMajority(ctx context.Context, next copyset.Set) bool {
	complete := 0
	for _, m := range nearestFirst(j.copySet, j.self.Zone) {
		if complete >= next.Majority() {
			break
		}
		if !m.Ready || m.Disk == j.self.Disk {
			continue
		}
		if err := j.push(ctx, m); err != nil {
			j.log.Warn("turnstore: records not copied to member", "to", m.Host, "error", err)
			continue
		}
		complete++
	}
	return complete >= next.Majority()
}
