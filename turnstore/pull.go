package turnstore

import (
	"time"

	"dogwoodline.example/turnstore/turnpb"
)

// pullPageBytes is the approximate size of a reply to Pull.
const pullPageBytes = 512 << 10

func (s *Server) pull(in *turnpb.PullRequest, payloads []pendingRecord, cold *coldTurns) (*turnpb.PullReply, []pendingRecord) {
	s.adoptEncodedSet(in.Set)
	out := &turnpb.PullReply{}
	out.Status, _, payloads = s.checkVersion(in.CopySet, payloads)
	if out.Status == turnpb.Status_STATUS_OK && !s.ready.Load() {
		out.Status = turnpb.Status_STATUS_NOT_READY
	}
	if out.Status == turnpb.Status_STATUS_OK {
		s.fillPull(in, out, cold)
	}
	return out, payloads
}

// fillPull adds the turns that a request names, or else a page, to the reply.
func (s *Server) fillPull(in *turnpb.PullRequest, out *turnpb.PullReply, cold *coldTurns) {
	limit := pullPageBytes
	if in.MaxBytes > 0 {
		limit = int(min(in.MaxBytes, pullPageBytes))
	}
	if len(in.Turns) > 0 {
		records, lookedUp := s.state.turnRecords(in.Turns, limit, in.OmitContent, cold)
		out.Records, out.Cursor, out.Done = records, uint64(lookedUp), lookedUp == len(in.Turns)
		return
	}
	cursor := in.Cursor
	if in.ArrivedWithinMs > 0 {
		within := time.Duration(min(in.ArrivedWithinMs, maxArrivedWithinMs)) * time.Millisecond
		cursor = max(cursor, s.state.arrivals.since(time.Now().Add(-within)))
	}
	out.Records, out.Cursor, out.Done = s.state.page(cursor, limit, in.OmitContent, cold)
}

// errFull means that a store has no room for records.
var errFull = Error.New("no room for further records")

// maxArrivedWithinMs is more than any mark of an arrival reaches back, in ms.
const maxArrivedWithinMs = 24 * 60 * 60 * 1000

// importRecords is applyRecords without the turns that have no content and are
// not held. It returns their ids, and those of turns that are not held either and that the
// imported ones continue. A store without room refuses them.
func (s *Server) importRecords(records []*turnpb.Record, payloads []pendingRecord) (_ []pendingRecord, missing []string, err error) {
	if len(records) > 0 && s.refuses(payloads) {
		return payloads, nil, errFull
	}
	usable := make([]*turnpb.Record, 0, len(records))
	for _, record := range records {
		if t := record.GetTurn(); t != nil && t.ContentOmitted && s.state.turns[t.Id] == nil {
			missing = append(missing, t.Id)
			continue
		}
		usable = append(usable, record)
	}
	payloads = s.applyRecords(usable, payloads)
	for _, record := range usable {
		if previous := record.GetTurn().GetPrevious(); previous != "" && s.state.turns[previous] == nil {
			missing = append(missing, previous)
		}
	}
	return payloads, missing, nil
}
