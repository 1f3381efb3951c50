package turnstore

import (
	"context"
	"log/slog"
	"time"

	"google.golang.org/grpc"

	"dogwoodline.example/copyset"
	"dogwoodline.example/turnstore/turnpb"
)

const (
	// repairInterval is how often a store looks for records that it lacks.
	repairInterval = 500 * time.Millisecond
	// missedMargin is added to the time for which a store may have missed records. It
	// covers the time that an operation waits for a sender and the difference between the
	// clocks of a host before and after a restart.
	missedMargin = 3 * time.Second
	// repairPageBytes is the size of a reply with contents of turns, and repairPause
	// follows each reply. Together they bound what a store copies to about 1.3 MB of
	// contents a second, so that turns that come in meanwhile are not delayed.
	repairPageBytes = 64 << 10
	repairPause     = 50 * time.Millisecond
	// maxRepairTurns is how many turns are looked up by id at a time.
	maxRepairTurns = 256
)

// repairWork is what a store may lack.
type repairWork struct {
	// missedSince is when others stored the first record that this store may have
	// missed; zero if it has missed none.
	missedSince time.Time
	// turns holds ids of turns that are not held although later ones are.
	turns []string
}

// repairProgress is what the repairer has found out.
type repairProgress struct {
	absent []string // turns that no other member holds
}

// noteMissed records that this store has missed an operation that began the given
// time ago, in ms, and which others have stored.
func (s *Server) noteMissed(ago uint64) {
	if ago == 0 {
		return
	}
	s.noteMissedSince(time.Now().Add(-time.Duration(min(ago, maxArrivedWithinMs)) * time.Millisecond))
}

// noteMissedSince records that this store may have missed what others have stored since
// the given time; zero stands for all records.
func (s *Server) noteMissedSince(since time.Time) {
	if since.IsZero() {
		since = time.UnixMilli(0)
	}
	if s.missedSince.IsZero() || since.Before(s.missedSince) {
		s.missedSince = since
	}
}

// nextRepair hands over what this store may lack. A store without room copies nothing.
func (s *Server) nextRepair(done *repairProgress) repairWork {
	s.state.gaps.setAbsent(done.absent)
	if s.full(0) {
		return repairWork{}
	}
	work := repairWork{missedSince: s.missedSince, turns: s.state.gaps.due(maxRepairTurns)}
	s.missedSince = time.Time{}
	return work
}

// Repairer copies to this store the records that it lacks: all that arrived at other
// members while it was away, and turns before those that it holds. A member that has
// missed a record has it on its disk again soon after it is back, so that the record
// outlives further losses.
type Repairer struct {
	puller
	log  *slog.Logger
	zone string // the availability zone of this store

	// The Run goroutine owns the fields below.
	missedSince time.Time // as in repairWork, until the records have been copied
	failing     bool      // the last try to copy them failed
	progress    repairProgress
}

// NewRepairer returns the repairer of a server, which reads from members in the given
// availability zone first.
func NewRepairer(server *Server, log *slog.Logger, zone string, connect func(address string) (grpc.ClientConnInterface, func(), error)) *Repairer {
	return &Repairer{
		puller: puller{server: server, connect: connect, turnPageBytes: repairPageBytes, pause: repairPause},
		log:    log, zone: zone,
	}
}

// Run looks for records that this store lacks, and copies them, until ctx ends.
func (r *Repairer) Run(ctx context.Context) error {
	ticker := time.NewTicker(repairInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.step(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// step copies what this store lacks, if it is a ready member.
func (r *Repairer) step(ctx context.Context) {
	set := r.server.copySet.Load()
	if set == nil || !r.server.ready.Load() || r.server.refusing.Load() || len(set.Members) < 2 {
		return
	}
	progress := r.progress
	result, err := r.server.submit(ctx, request{repair: &progress})
	if err != nil {
		return // the writer is busy with requests, which go first
	}
	r.progress = repairProgress{}
	work := result.repair
	if !work.missedSince.IsZero() && (r.missedSince.IsZero() || work.missedSince.Before(r.missedSince)) {
		r.missedSince = work.missedSince
	}
	if !r.missedSince.IsZero() && r.catchUp(ctx, *set) {
		r.missedSince = time.Time{}
	}
	if len(work.turns) > 0 {
		r.copyTurns(ctx, *set, work.turns)
	}
}

// catchUp copies the records that arrived at other members since this store may have
// missed some. It reports whether it has read so many members that each record that a
// majority has synced is among them.
func (r *Repairer) catchUp(ctx context.Context, set copyset.Set) bool {
	started, within := time.Now(), uint64(0) // 0 means all
	if missed := time.Since(r.missedSince); missed > 0 && missed.Milliseconds() < maxArrivedWithinMs {
		within = uint64((missed + missedMargin).Milliseconds())
	}
	var total copied
	read, wanted := 0, max(1, set.ReadQuorum()-1) // this store is one of a read quorum
	for _, m := range nearestFirst(set, r.zone) {
		if !m.Ready || m.Disk == r.server.Disk() || read == wanted {
			continue
		}
		listed, err := r.pull(ctx, set, m, &turnpb.PullRequest{ArrivedWithinMs: within})
		total.records += listed.records
		total.turnBytes += listed.turnBytes
		if err == nil {
			read++
		} else if !r.failing {
			r.log.Info("turnstore: missed records not copied from a member", "from", m.Host, "copy_set", set.Version, "error", err)
		}
	}
	r.failing = read < wanted
	if r.failing {
		return false
	}
	r.log.Info("turnstore: missed records copied", "within_ms", within, "members", read, "listed", total.records,
		"turn_bytes", total.turnBytes, "took_ms", time.Since(started).Milliseconds())
	return true
}

// copyTurns copies turns from the members that hold them. Those that a read quorum
// does not hold are not asked for again.
func (r *Repairer) copyTurns(ctx context.Context, set copyset.Set, ids []string) {
	wanted, read := ids, 0
	for _, m := range nearestFirst(set, r.zone) {
		if !m.Ready || m.Disk == r.server.Disk() || len(wanted) == 0 {
			continue
		}
		received, err := r.copyTurnsFrom(ctx, set, m, wanted)
		if err != nil {
			r.log.Info("turnstore: earlier turns not copied", "from", m.Host, "turns", len(wanted), "error", err)
		} else {
			read++
		}
		var left []string
		for _, id := range wanted {
			if !received[id] {
				left = append(left, id)
			}
		}
		wanted = left
	}
	if read >= max(1, set.ReadQuorum()-1) {
		r.progress.absent = wanted
	}
	r.log.Info("turnstore: earlier turns copied", "turns", len(ids)-len(wanted), "absent", len(wanted), "members_read", read)
}

func (r *Repairer) copyTurnsFrom(ctx context.Context, set copyset.Set, m copyset.Member, ids []string) (map[string]bool, error) {
	conn, closeConn, err := r.connect(m.Address)
	if err != nil {
		return nil, err
	}
	defer closeConn()
	received, _, err := r.pullTurns(ctx, turnpb.NewTurnStoreClient(conn), set, ids)
	return received, err
}
