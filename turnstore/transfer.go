package turnstore

import (
	"context"
	"slices"
	"time"

	"dogwoodline.example/copyset"
	"dogwoodline.example/turnstore/turnpb"
)

const (
	// pageTimeout bounds the transfer of one page of records.
	pageTimeout = 2 * time.Second
	// pullAllGrace is how long a joining store tries to pull from all ready
	// members before a read quorum of them suffices, because a record on more
	// disks survives more losses.
	pullAllGrace = 700 * time.Millisecond
)

// pullAll pulls from the ready members. It reports whether it has read so many
// of them to the end that every earlier majority is represented. Once it has, it
// goes on with the others for pullAllGrace at most.
func (j *Joiner) pullAll(ctx context.Context) bool {
	if j.pulledVersion != j.copySet.Version {
		j.pulledVersion, j.pulledDisks, j.pullStart = j.copySet.Version, map[string]bool{}, time.Now()
	}
	complete := true
	for _, m := range nearestFirst(j.copySet, j.self.Zone) {
		if !m.Ready || m.Disk == j.self.Disk || j.pulledDisks[m.Disk] {
			continue
		}
		if j.pulledEnough() && time.Since(j.pullStart) > pullAllGrace {
			return true
		}
		copied, err := j.pull(ctx, j.copySet, m, &turnpb.PullRequest{})
		if err != nil {
			j.log.Warn("turnstore: pull failed", "from", m.Host, "copy_set", j.copySet.Version, "error", err)
			complete = false
			continue
		}
		j.pulledDisks[m.Disk] = true
		j.log.Info("turnstore: pulled", "from", m.Host, "records", copied.records, "turn_bytes", copied.turnBytes, "copy_set", j.copySet.Version)
	}
	return j.pulledEnough() && (complete || time.Since(j.pullStart) > pullAllGrace)
}

// pulledEnough reports whether so many members have been pulled from that this
// disk has every record that a majority has synced.
func (j *Joiner) pulledEnough() bool {
	self, _ := j.copySet.Find(j.self.Disk)
	return len(j.pulledDisks) >= j.copySet.MustPullFrom(self)
}

// push stores the records of this disk that one member has not received yet.
func (j *Joiner) push(ctx context.Context, to copyset.Member) error {
	conn, closeConn, err := j.connect(to.Address)
	if err != nil {
		return err
	}
	defer closeConn()
	client := turnpb.NewTurnStoreClient(conn)
	for {
		page, err := j.server.readPage(ctx, j.retirement.sent[to.Disk])
		if err != nil {
			return err
		}
		if records := j.withoutHeldTurns(ctx, client, to, page.Records); len(records) > 0 {
			if err := pushPage(ctx, client, &turnpb.ExchangeRequest{CopySet: j.copySet.Version, Records: records}); err != nil {
				return err
			}
		}
		j.retirement.sent[to.Disk] = page.Cursor
		if page.Done {
			return nil
		}
	}
}

// withoutHeldTurns returns the records without the turns that the member says it
// holds. If the member does not say, it returns all.
func (j *Joiner) withoutHeldTurns(ctx context.Context, client turnpb.TurnStoreClient, to copyset.Member, records []*turnpb.Record) []*turnpb.Record {
	var ids []string
	for _, record := range records {
		if t := record.GetTurn(); t != nil {
			ids = append(ids, t.Id)
		}
	}
	if len(ids) == 0 {
		return records
	}
	reply, err := pullPage(ctx, client, j.copySet, &turnpb.PullRequest{Turns: ids, OmitContent: true})
	if err != nil {
		j.log.Info("turnstore: turns of member not known, sending all", "to", to.Host, "error", err)
		return records
	}
	held := map[string]bool{}
	for _, record := range reply.Records {
		if t := record.GetTurn(); t != nil {
			held[t.Id] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(records), func(record *turnpb.Record) bool {
		t := record.GetTurn()
		return t != nil && held[t.Id]
	})
}

func pushPage(ctx context.Context, client turnpb.TurnStoreClient, request *turnpb.ExchangeRequest) error {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	reply, err := client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	if reply.Status != turnpb.Status_STATUS_OK && reply.Status != turnpb.Status_STATUS_NOT_READY {
		return Error.New("exchange refused with %s", reply.Status)
	}
	return nil
}
