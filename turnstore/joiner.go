package turnstore

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"dogwoodline.example/copyset"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/ring"
)

const (
	// joinInterval is how often the joiner checks the copy set without updates.
	joinInterval = 500 * time.Millisecond
	// absentAfter is how long a member must be missing from the registered
	// processes before it counts as absent. A lease lapses after 2 s, and a store
	// that lost power is mostly back within that time.
	absentAfter = 2500 * time.Millisecond
	// updateQueueSize is the number of updates that may wait for the joiner.
	updateQueueSize = 256
)

// Update is an update for the joiner from the watches of the platform store.
// Exactly one field is set.
type Update struct {
	// CopySet is the copy set that was read.
	CopySet *copyset.Set
	// RegisteredDisks holds the disks of the registered store processes.
	RegisteredDisks map[string]bool
	// Retire is the operator's order to retire this host's disk.
	Retire *RetireOrder
	// PlatformStoreLost means that the platform store does not answer.
	PlatformStoreLost bool
}

// Joiner makes the disk of a server a member of the copy set, drops absent
// members, and copies the records to the other members when the disk is retired.
type Joiner struct {
	puller
	store     kvstore.Store
	log       *slog.Logger
	self      copyset.Member
	tolerated int // the number of disks that may be lost without losing records
	report    RetireReport
	updates   *ring.Ring[Update]
	stable    atomic.Bool

	// The Run goroutine owns the fields below.
	copySet         copyset.Set
	hasSet          bool                 // a copy set has been read
	missingSince    map[string]time.Time // by disk, for members that are not registered
	registered      map[string]bool      // registered disks; nil while the platform store is lost
	registeredSince time.Time            // when registered last became known
	retirement      *retirement          // nil unless the operator has ordered one
	pulledDisks     map[string]bool      // members that were pulled from to the end
	pulledVersion   uint64               // the copy set version that pulledDisks belongs to
	pullStart       time.Time            // when the first pull under that version began
}

// NewJoiner returns the joiner of a server. Self describes the member; its
// disk is set from the server.
func NewJoiner(server *Server, store kvstore.Store, log *slog.Logger, self copyset.Member, tolerated int, report RetireReport,
	connect func(address string) (grpc.ClientConnInterface, func(), error)) *Joiner {
	self.Disk = server.Disk()
	return &Joiner{
		puller: puller{server: server, connect: connect}, store: store, log: log, self: self, tolerated: tolerated, report: report,
		updates: ring.New[Update](updateQueueSize), missingSince: map[string]time.Time{},
	}
}

// Updates returns the queue of updates.
func (j *Joiner) Updates() *ring.Ring[Update] { return j.updates }

// Stable reports whether the copy set needs no change that this store knows
// of: this disk is a member, all members are ready and registered, and no
// retirement is in progress.
func (j *Joiner) Stable() bool { return j.stable.Load() }

// Run handles updates and changes the copy set until ctx ends.
func (j *Joiner) Run(ctx context.Context) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		for update, ok := j.updates.TryPop(); ok; update, ok = j.updates.TryPop() {
			j.handleUpdate(update, time.Now())
		}
		if j.hasSet && !j.retirement.complete() {
			j.step(ctx)
		}
		select {
		case <-j.updates.Ready():
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handleUpdate adopts an update and recomputes which members are missing.
func (j *Joiner) handleUpdate(update Update, now time.Time) {
	switch {
	case update.CopySet != nil:
		j.hasSet = true
		if update.CopySet.Version >= j.copySet.Version { // an empty set has version 0
			j.copySet = *update.CopySet
			j.server.SetCopySet(j.copySet)
		}
	case update.RegisteredDisks != nil:
		if j.registered == nil {
			j.registeredSince = now
		}
		j.registered = update.RegisteredDisks
	case update.Retire != nil:
		if j.retirement == nil {
			j.retirement = newRetirement(*update.Retire, now)
		}
	case update.PlatformStoreLost:
		j.registered = nil // leases may lapse without being seen here
	}
	for _, m := range j.copySet.Members {
		if j.registered == nil || j.registered[m.Disk] {
			delete(j.missingSince, m.Disk)
		} else if _, known := j.missingSince[m.Disk]; !known {
			j.missingSince[m.Disk] = now
		}
	}
	j.stable.Store(j.isStable())
}

func (j *Joiner) isStable() bool {
	changing := slices.ContainsFunc(j.copySet.Members, func(m copyset.Member) bool {
		return !m.Ready || j.registered != nil && !j.registered[m.Disk]
	})
	_, member := j.copySet.Find(j.self.Disk)
	return member && !changing && j.retirement == nil
}

// absent reports whether a member has been missing for longer than absentAfter,
// and the registered processes have been known for as long.
func (j *Joiner) absent(disk string) bool {
	since, missing := j.missingSince[disk]
	return missing && time.Since(since) > absentAfter && time.Since(j.registeredSince) > absentAfter
}

// step makes the next change that is due for this disk or the copy set.
func (j *Joiner) step(ctx context.Context) {
	if j.retirement != nil {
		j.retire(ctx, time.Now())
		return
	}
	member, ok := j.copySet.Find(j.self.Disk)
	switch {
	case !ok:
		if next, allowed := j.copySet.Join(j.self, j.absent); allowed {
			_ = j.replaceCopySet(ctx, next, "joins") // logged, and tried again at the next step
		}
	case member.Address != j.self.Address:
		if next, moved := j.copySet.SetAddress(j.self.Disk, j.self.Address); moved {
			_ = j.replaceCopySet(ctx, next, "has another address") // as above
		}
	case !member.Ready:
		if j.pullAll(ctx) {
			if next, changed := j.copySet.MarkReady(j.self.Disk); changed {
				_ = j.replaceCopySet(ctx, next, "is ready") // as above
			}
		}
	default:
		if next, disk, changed := j.copySet.Drop(j.absent, j.tolerated); changed {
			j.log.Warn("turnstore: member dropped", "absent_disk", disk, "missing_ms", time.Since(j.missingSince[disk]).Milliseconds())
			_ = j.replaceCopySet(ctx, next, "drops an absent member") // as above
		}
	}
}

// replaceCopySet writes the next copy set, unless the stored one has changed
// since it was read.
func (j *Joiner) replaceCopySet(ctx context.Context, next copyset.Set, reason string) error {
	next = next.Formed(j.tolerated)
	version, err := kvstore.PutResolved(ctx, j.store, copyset.Key, next.Encode(), kvstore.Version(j.copySet.Version), 0)
	if err != nil {
		j.log.Warn("turnstore: copy set not changed", "why", reason, "version", j.copySet.Version, "error", err)
		if errors.Is(err, kvstore.ErrConflict) {
			j.reloadCopySet(ctx)
		}
		return err
	}
	next.Version = uint64(version)
	j.log.Info("turnstore: copy set changed", "why", reason, "disk", j.self.Disk, "from", j.copySet.Version, "to", next.Version,
		"members", len(next.Members))
	j.handleUpdate(Update{CopySet: &next}, time.Now())
	return nil
}

func (j *Joiner) reloadCopySet(ctx context.Context) {
	item, err := j.store.Get(ctx, copyset.Key)
	if err != nil {
		j.log.Warn("turnstore: copy set not read", "error", err)
		return
	}
	set, err := copyset.Decode(item.Value, uint64(item.Version))
	if err != nil {
		j.log.Error("turnstore: copy set not decoded", "version", item.Version, "error", err)
		return
	}
	j.handleUpdate(Update{CopySet: &set}, time.Now())
}
