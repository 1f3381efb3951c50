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
	"dogwoodline.example/turnstore/turnpb"
)

const (
	// joinEvery is how often the joining duty looks again without news.
	joinEvery = 500 * time.Millisecond
	// pullTimeout bounds one page.
	pullTimeout = 2 * time.Second
	// pullAllWait is how long a joining store waits for all ready members
	// before it is content with enough of them, because more copies survive
	// more losses.
	pullAllWait = 700 * time.Millisecond
	// absentAfter is how long a member must be missing from the registered
	// processes before it is dropped. A lease lapses after 2 s, and a store
	// that lost power is mostly back within that time.
	absentAfter = 2500 * time.Millisecond
	// newsSlots is the number of news that may wait for the duty.
	newsSlots = 256
)

// News is what the followers tell the joining duty. Exactly one field is set.
type News struct {
	Copies *copyset.Set
	// Present lists the disks of the registered stores.
	Present map[string]bool
	// Retire orders this host's disk to be emptied.
	Retire bool
	// StoreLost reports that the platform's store does not answer.
	StoreLost bool
}

// RetireReport returns the key and value that report the emptying of a disk.
type RetireReport func(done bool) (key string, value []byte)

// Joiner is the duty that makes this disk a member of the copy set, drops
// members that are gone, and empties the disk when it is retired.
type Joiner struct {
	server    *Server
	store     kvstore.Store
	log       *slog.Logger
	self      copyset.Member
	tolerated int
	report    RetireReport
	connect   func(address string) (grpc.ClientConnInterface, func(), error)
	news      *ring.Ring[News]
	settled   atomic.Bool

	// The fields below belong to the duty.
	copies    copyset.Set
	listed    bool
	missing   map[string]time.Time
	present   map[string]bool
	seenSince time.Time // since when the registered processes are known
	retiring  bool
	reported  bool
	retired   bool
	pulled    map[string]bool
	pulledFor uint64
	pullSince time.Time
}

// NewJoiner returns the joining duty of a server.
func NewJoiner(server *Server, store kvstore.Store, log *slog.Logger, self copyset.Member, tolerated int, report RetireReport,
	connect func(address string) (grpc.ClientConnInterface, func(), error)) *Joiner {
	self.Disk = server.Disk()
	return &Joiner{
		server: server, store: store, log: log, self: self, tolerated: tolerated, report: report, connect: connect,
		news: ring.New[News](newsSlots), missing: map[string]time.Time{},
	}
}

// News returns the ring of news.
func (j *Joiner) News() *ring.Ring[News] { return j.news }

// Settled reports whether the copy set needs no change that this store knows
// of: all members are ready and there, and it is one of them.
func (j *Joiner) Settled() bool { return j.settled.Load() }

// Run is the duty.
func (j *Joiner) Run(ctx context.Context) error {
	ticker := time.NewTicker(joinEvery)
	defer ticker.Stop()
	for {
		for news, ok := j.news.TryPop(); ok; news, ok = j.news.TryPop() {
			j.learn(news, time.Now())
		}
		if j.listed && !j.retired {
			j.step(ctx)
		}
		select {
		case <-j.news.Ready():
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (j *Joiner) learn(news News, now time.Time) {
	switch {
	case news.Copies != nil:
		j.listed = true
		if news.Copies.Version >= j.copies.Version { // an empty set has version 0
			j.copies = *news.Copies
			j.server.SetCopies(j.copies)
		}
	case news.Present != nil:
		if j.present == nil {
			j.seenSince = now
		}
		j.present = news.Present
	case news.Retire:
		j.retiring = true
	case news.StoreLost:
		j.present = nil // leases may lapse unseen
	}
	for _, m := range j.copies.Members {
		if j.present == nil || j.present[m.Disk] {
			delete(j.missing, m.Disk)
		} else if _, known := j.missing[m.Disk]; !known {
			j.missing[m.Disk] = now
		}
	}
	j.settled.Store(j.atRest())
}

func (j *Joiner) atRest() bool {
	changing := slices.ContainsFunc(j.copies.Members, func(m copyset.Member) bool {
		return !m.Ready || j.present != nil && !j.present[m.Disk]
	})
	_, member := j.copies.Find(j.self.Disk)
	return member && !changing && !j.retiring
}

// absent reports whether a member has been missing for long enough.
func (j *Joiner) absent(disk string) bool {
	since, missing := j.missing[disk]
	return missing && time.Since(since) > absentAfter && time.Since(j.seenSince) > absentAfter
}

func (j *Joiner) step(ctx context.Context) {
	if j.retiring {
		j.retire(ctx)
		return
	}
	member, ok := j.copies.Find(j.self.Disk)
	switch {
	case !ok:
		if next, may := j.copies.Join(j.self, j.absent); may {
			j.swap(ctx, next, "joins")
		}
	case member.Address != j.self.Address:
		if next, moved := j.copies.Move(j.self.Disk, j.self.Address); moved {
			j.swap(ctx, next, "has another address")
		}
	case !member.Ready:
		if j.pullAll(ctx) {
			if next, changed := j.copies.Ready(j.self.Disk); changed {
				j.swap(ctx, next, "is ready")
			}
		}
	default:
		if next, disk, changed := j.copies.Drop(j.absent, j.tolerated); changed {
			j.log.Warn("turnstore: member dropped", "absent_disk", disk, "missing_ms", time.Since(j.missing[disk]).Milliseconds())
			j.swap(ctx, next, "drops an absent member")
		}
	}
}

// swap writes the next copy set if nobody else has changed it.
func (j *Joiner) swap(ctx context.Context, next copyset.Set, why string) bool {
	version, err := kvstore.PutResolved(ctx, j.store, copyset.Key, next.Encode(), kvstore.Version(j.copies.Version), 0)
	if err != nil {
		j.log.Warn("turnstore: copy set not changed", "why", why, "version", j.copies.Version, "error", err)
		if errors.Is(err, kvstore.ErrConflict) {
			j.reload(ctx)
		}
		return false
	}
	next.Version = uint64(version)
	j.log.Info("turnstore: copy set changed", "why", why, "disk", j.self.Disk, "from", j.copies.Version, "to", next.Version,
		"members", len(next.Members))
	j.learn(News{Copies: &next}, time.Now())
	return true
}

func (j *Joiner) reload(ctx context.Context) {
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
	j.learn(News{Copies: &set}, time.Now())
}

// pullAll pulls from the ready members. It reports whether every earlier
// majority is represented among those that were read to the end.
func (j *Joiner) pullAll(ctx context.Context) bool {
	if j.pulledFor != j.copies.Version {
		j.pulledFor, j.pulled, j.pullSince = j.copies.Version, map[string]bool{}, time.Now()
	}
	ready := 0
	for _, m := range j.copies.Members {
		if !m.Ready || m.Disk == j.self.Disk {
			continue
		}
		ready++
		if j.pulled[m.Disk] {
			continue
		}
		count, err := j.pull(ctx, m)
		if err != nil {
			j.log.Warn("turnstore: pull failed", "from", m.Host, "copy_set", j.copies.Version, "error", err)
			continue
		}
		j.pulled[m.Disk] = true
		j.log.Info("turnstore: pulled", "from", m.Host, "records", count, "copy_set", j.copies.Version)
	}
	enough := len(j.pulled) >= j.copies.Witnesses()
	return enough && (len(j.pulled) == ready || time.Since(j.pullSince) > pullAllWait)
}

func (j *Joiner) pull(ctx context.Context, from copyset.Member) (int, error) {
	conn, closeConn, err := j.connect(from.Address)
	if err != nil {
		return 0, err
	}
	defer closeConn()
	client := turnpb.NewTurnStoreClient(conn)
	request := &turnpb.PullRequest{CopySet: j.copies.Version, Set: encodeVersioned(j.copies)}
	count := 0
	for {
		page, err := pullPage(ctx, client, request)
		if err != nil {
			return count, err
		}
		if page.Status != turnpb.Status_STATUS_OK {
			return count, Error.New("refused with %s", page.Status)
		}
		if len(page.Records) > 0 {
			if err := j.server.Absorb(ctx, page.Records); err != nil {
				return count, err
			}
		}
		count += len(page.Records)
		if page.Done {
			return count, nil
		}
		request.Cursor = page.Cursor
	}
}

func pullPage(ctx context.Context, client turnpb.TurnStoreClient, request *turnpb.PullRequest) (*turnpb.PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return client.Pull(ctx, request)
}

// retire hands this disk's records to all others and leaves the copy set.
func (j *Joiner) retire(ctx context.Context) {
	if !j.reported {
		j.reported = j.tell(ctx, false)
	}
	if _, member := j.copies.Find(j.self.Disk); member {
		next, may := j.copies.Leave(j.self.Disk, j.tolerated)
		if !may {
			j.log.Warn("turnstore: disk not emptied, too few others are ready", "members", len(j.copies.Members))
			return
		}
		if !j.pushAll(ctx) {
			return
		}
		if !j.swap(ctx, next, "retires") {
			return
		}
	}
	j.server.Retired()
	j.retired = j.tell(ctx, true)
}

func (j *Joiner) tell(ctx context.Context, done bool) bool {
	key, value := j.report(done)
	if _, err := j.store.Put(ctx, key, value, kvstore.AnyVersion, 0); err != nil {
		j.log.Warn("turnstore: retirement not reported", "done", done, "error", err)
		return false
	}
	j.log.Info("turnstore: retirement reported", "disk", j.self.Disk, "done", done)
	return true
}

// pushAll stores all records of this disk at every other member, and reports
// whether every one has them.
func (j *Joiner) pushAll(ctx context.Context) bool {
	all := true
	for _, m := range j.copies.Members {
		if m.Disk == j.self.Disk {
			continue
		}
		if err := j.push(ctx, m); err != nil {
			j.log.Warn("turnstore: records not handed over", "to", m.Host, "error", err)
			all = false
		}
	}
	return all
}

func (j *Joiner) push(ctx context.Context, to copyset.Member) error {
	conn, closeConn, err := j.connect(to.Address)
	if err != nil {
		return err
	}
	defer closeConn()
	client := turnpb.NewTurnStoreClient(conn)
	var cursor uint64
	for {
		page, err := j.server.Pull(ctx, &turnpb.PullRequest{CopySet: j.copies.Version, Cursor: cursor})
		if err != nil {
			return err
		}
		if page.Status != turnpb.Status_STATUS_OK {
			return Error.New("this store refused with %s", page.Status)
		}
		if len(page.Records) > 0 {
			if err := pushPage(ctx, client, &turnpb.ExchangeRequest{CopySet: j.copies.Version, Records: page.Records}); err != nil {
				return err
			}
		}
		if page.Done {
			return nil
		}
		cursor = page.Cursor
	}
}

func pushPage(ctx context.Context, client turnpb.TurnStoreClient, request *turnpb.ExchangeRequest) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	if reply.Status != turnpb.Status_STATUS_OK && reply.Status != turnpb.Status_STATUS_NOT_READY {
		return Error.New("refused with %s", reply.Status)
	}
	return nil
}
