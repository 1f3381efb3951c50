package turnstore

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"

	"dogwoodline.example/copyset"
	"dogwoodline.example/turnstore/turnpb"
)

// puller copies records of other members to this store.
type puller struct {
	server  *Server
	connect func(address string) (grpc.ClientConnInterface, func(), error)
	// turnPageBytes is the size of a reply with contents of turns; 0 for the other
	// store's limit.
	turnPageBytes uint64
	pause         time.Duration // after each reply
}

// copied counts what was read of one member.
type copied struct {
	records   int // that the member listed
	turnBytes int // contents of turns that were transferred
}

// nearestFirst returns the members, those in the given availability zone first. The
// first one that is pulled from sends most of the contents.
func nearestFirst(set copyset.Set, zone string) []copyset.Member {
	members := slices.Clone(set.Members)
	distance := func(m copyset.Member) int {
		if m.Zone == zone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(members, func(a, b copyset.Member) int { return distance(a) - distance(b) })
	return members
}

// pull makes the records of one member durable here that the request describes. The
// contents of turns are transferred only if this store lacks them, because most
// members hold the same turns.
func (p *puller) pull(ctx context.Context, set copyset.Set, from copyset.Member, request *turnpb.PullRequest) (copied, error) {
	var total copied
	conn, closeConn, err := p.connect(from.Address)
	if err != nil {
		return total, err
	}
	defer closeConn()
	client := turnpb.NewTurnStoreClient(conn)
	request.OmitContent = true
	for {
		page, err := pullPage(ctx, client, set, request)
		if err != nil {
			return total, err
		}
		missing, err := p.server.Import(ctx, page.Records)
		if err != nil {
			return total, err
		}
		sleep(ctx, p.pause)
		_, turnBytes, err := p.pullTurns(ctx, client, set, missing)
		if err != nil {
			return total, err
		}
		total.records += len(page.Records)
		total.turnBytes += turnBytes
		if page.Done {
			return total, nil
		}
		request.Cursor = page.Cursor
	}
}

// pullTurns makes the given turns durable here, as far as the other store holds them,
// and those before them that this store lacks. It returns the ids of the turns that it
// received, and the bytes of their contents.
func (p *puller) pullTurns(ctx context.Context, client turnpb.TurnStoreClient, set copyset.Set, ids []string) (received map[string]bool, turnBytes int, err error) {
	received = map[string]bool{}
	wanted, everWanted := slices.Clone(ids), map[string]bool{}
	for _, id := range ids {
		everWanted[id] = true
	}
	for len(wanted) > 0 {
		reply, err := pullPage(ctx, client, set, &turnpb.PullRequest{Turns: wanted, MaxBytes: p.turnPageBytes})
		if err != nil {
			return received, turnBytes, err
		}
		if reply.Cursor == 0 || reply.Cursor > uint64(len(wanted)) {
			return received, turnBytes, Error.New("pull of %d turns answered with cursor %d", len(wanted), reply.Cursor)
		}
		earlier, err := p.server.Import(ctx, reply.Records)
		if err != nil {
			return received, turnBytes, err
		}
		for _, record := range reply.Records {
			received[record.GetTurn().GetId()] = true
			turnBytes += len(record.GetTurn().GetContent())
		}
		wanted = wanted[reply.Cursor:]
		for _, id := range earlier {
			if !everWanted[id] {
				everWanted[id] = true
				wanted = append(wanted, id)
			}
		}
		sleep(ctx, p.pause)
	}
	return received, turnBytes, nil
}

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pullPage makes one Pull request under a copy set.
func pullPage(ctx context.Context, client turnpb.TurnStoreClient, set copyset.Set, request *turnpb.PullRequest) (*turnpb.PullReply, error) {
	request.CopySet, request.Set = set.Version, encodeVersionedSet(set)
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	reply, err := client.Pull(ctx, request)
	if err != nil {
		return nil, err
	}
	if reply.Status != turnpb.Status_STATUS_OK {
		return nil, Error.New("pull refused with %s", reply.Status)
	}
	return reply, nil
}
