package turnstore

import (
	"context"
	"errors"
	"slices"

	"google.golang.org/protobuf/proto"

	"dogwoodline.example/turnlog"
	"dogwoodline.example/turnstore/turnpb"
)

// readQueueSize is the number of jobs that may wait for the reader.
const readQueueSize = 1024

// readJob is an item of the reader's queue: an outcome to complete and to send, a chunk of
// records to read for the compaction, or a segment to delete, which all earlier jobs may
// still read.
type readJob struct {
	reply   chan<- outcome
	outcome outcome
	chunk   *moveChunk
	remove  uint64
}

// runReader is the store-reader goroutine. It reads what only the log has, and deletes
// segments.
func (s *Server) runReader(ctx context.Context) error {
	for {
		job, err := s.reads.Pop(ctx)
		if err != nil {
			return err
		}
		if err := s.read(ctx, job); err != nil {
			return err
		}
	}
}

// read does one job. It fails only when ctx ends.
func (s *Server) read(ctx context.Context, job readJob) error {
	switch {
	case job.chunk != nil:
		s.readChunk(job.chunk)
		return s.requests.Push(ctx, request{moved: job.chunk})
	case job.remove != 0:
		removed := &removedSegment{number: job.remove, err: s.turnLog.DeleteSegment(job.remove)}
		return s.requests.Push(ctx, request{removed: removed})
	}
	s.complete(job)
	return nil
}

// complete reads the cold turns of an outcome and sends it.
func (s *Server) complete(job readJob) {
	positions := make([]turnlog.Position, len(job.outcome.cold))
	for i, cold := range job.outcome.cold {
		positions[i] = cold.at
	}
	s.turnLog.Prefetch(positions)
	var failed coldTurns
	for _, cold := range job.outcome.cold {
		content, err := s.readTurn(cold.at, cold.turn.Id)
		if err != nil {
			s.log.Warn("turnstore: turn not read", "turn", cold.turn.Id, "segment", cold.at.Segment, "offset", cold.at.Offset, "error", err)
			failed = append(failed, cold)
			continue
		}
		cold.turn.Content, cold.turn.Organisation, cold.turn.BackendServer = content.Content, content.Organisation, content.BackendServer
	}
	job.outcome.omit(allOf(failed))
	job.reply <- job.outcome
	if job.outcome.exchange != nil {
		// The conversation goes on, so that it is asked for again. If the writer does not
		// keep up, it is read again then.
		_ = s.requests.TryPush(request{read: job.outcome.cold})
	}
}

// warm makes turns hot that the reader has read.
func (s *Server) warm(read coldTurns) {
	for _, c := range read {
		if t := s.state.turns[c.turn.Id]; t != nil && t.hot == nil && t.at == c.at && c.turn.Content != nil {
			s.state.hot.add(t, c.turn)
		}
	}
}

// errOtherRecord means that a position leads to another record than the one that is wanted.
var errOtherRecord = Error.New("another record is there")

// readTurn reads a turn from the log.
func (s *Server) readTurn(at turnlog.Position, id string) (*turnpb.Turn, error) {
	payload, err := s.turnLog.Read(at)
	if err != nil {
		return nil, err
	}
	var record turnpb.Record
	if err := proto.Unmarshal(payload, &record); err != nil {
		return nil, errors.Join(turnlog.ErrNotReadable, err)
	}
	if record.GetTurn().GetId() != id {
		return nil, errors.Join(turnlog.ErrNotReadable, errOtherRecord)
	}
	return record.GetTurn(), nil
}

// allOf returns the set of the given turns.
func allOf(cold coldTurns) map[*turnpb.Turn]bool {
	turns := make(map[*turnpb.Turn]bool, len(cold))
	for _, c := range cold {
		turns[c.turn] = true
	}
	return turns
}

// omit removes turns without content from an outcome, as if this store lacked them: a
// conversation ends before the first of them, so that the client asks other stores.
func (o *outcome) omit(turns map[*turnpb.Turn]bool) {
	if len(turns) == 0 {
		return
	}
	for _, chain := range o.exchange.GetChains() {
		first := slices.IndexFunc(chain.Turns, func(t *turnpb.Turn) bool { return turns[t] })
		if first >= 0 {
			chain.Turns, chain.Whole = chain.Turns[:first], false
		}
	}
	if o.pull != nil {
		o.pull.Records = slices.DeleteFunc(o.pull.Records, func(r *turnpb.Record) bool { return turns[r.GetTurn()] })
	}
}
