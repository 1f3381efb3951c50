package turnstore

import (
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodline.example/turnstore/turnpb"
)

// checkVersion refuses a request under an older copy set version than the store
// has accepted, and records a newer version as the lowest that is accepted from
// now on. A store that leaves the copy set refuses every request. A refusal returns the newest
// known copy set if that is newer than the request's.
func (s *Server) checkVersion(version uint64, payloads []pendingRecord) (turnpb.Status, []byte, []pendingRecord) {
	known := s.copySet.Load()
	if s.refusing.Load() || version < s.state.fence {
		if known != nil && known.Version > version {
			return turnpb.Status_STATUS_STALE, encodeVersionedSet(*known), payloads
		}
		return turnpb.Status_STATUS_STALE, nil, payloads
	}
	if version > s.state.fence {
		payloads = s.applyRecords([]*turnpb.Record{fenceRecord(version)}, payloads)
	}
	return turnpb.Status_STATUS_OK, nil, payloads
}

// exchange applies a request and answers it. News are passed on even if the records
// are not taken.
func (s *Server) exchange(in *turnpb.ExchangeRequest, payloads []pendingRecord, cold *coldTurns) (*turnpb.ExchangeReply, []pendingRecord) {
	s.adoptEncodedSet(in.Set)
	s.noteMissed(in.MissedMs)
	out := &turnpb.ExchangeReply{}
	out.Status, out.Set, payloads = s.checkVersion(in.CopySet, payloads)
	if out.Status == turnpb.Status_STATUS_OK {
		payloads = s.applyExchange(in, out, payloads, cold)
	}
	s.state.news.after(in.NewsAfter, in.NewsNumbering, out)
	out.UsedBytes, out.LimitBytes = s.fullness()
	return out, payloads
}

// applyExchange applies the records of a request under a current copy set and adds
// what it asks for to the reply.
func (s *Server) applyExchange(in *turnpb.ExchangeRequest, out *turnpb.ExchangeReply, payloads []pendingRecord, cold *coldTurns) []pendingRecord {
	if len(in.Records) > 0 && s.refuses(payloads) {
		out.Status = turnpb.Status_STATUS_FAILED
		return payloads
	}
	payloads, refused := s.applyBudgeted(in.Records, payloads)
	if !s.ready.Load() {
		out.Status = turnpb.Status_STATUS_NOT_READY
		return payloads
	}
	withdrawnSince := s.state.arrivals.since(time.Now().Add(-withdrawalReplyTime))
	for _, record := range in.Records {
		r := record.GetReservation()
		switch {
		case r == nil:
		case refused[r.Attempt]:
			out.Ledgers = append(out.Ledgers, s.state.refusal(r.Program))
		default:
			out.Ledgers = append(out.Ledgers, s.state.ledger(r.Program, withdrawnSince))
		}
	}
	for _, id := range in.Chains {
		out.Chains = append(out.Chains, s.state.chain(id, cold))
	}
	for _, key := range in.Facts {
		out.Facts = append(out.Facts, s.state.facts.get(key))
	}
	return payloads
}

// applyBudgeted applies records of a front. It keeps no reservation for which a budget
// has certainly no room, and returns the attempts of those.
func (s *Server) applyBudgeted(records []*turnpb.Record, payloads []pendingRecord) (_ []pendingRecord, refused map[string]bool) {
	for _, record := range records {
		reservation, settlement := record.GetReservation(), record.GetSettlement()
		switch {
		case reservation != nil && s.state.refuseReservation(reservation):
			if refused == nil {
				refused = map[string]bool{}
			}
			refused[reservation.Attempt] = true
			if renewed := s.state.renewal(reservation.Program); renewed != nil {
				payloads = append(payloads, pendingRecord{encodeRecord(renewed.encode()), renewed})
			}
		case settlement != nil && s.state.withdrawsRefused(settlement):
		default:
			payloads = s.applyRecords([]*turnpb.Record{record}, payloads)
		}
	}
	return payloads, refused
}

// applyRecords applies records to the state and appends the encoding of the new
// ones to payloads.
func (s *Server) applyRecords(records []*turnpb.Record, payloads []pendingRecord) []pendingRecord {
	for _, record := range records {
		if item, added := s.state.apply(record); added {
			payloads = append(payloads, pendingRecord{encodeRecord(record), item})
		}
	}
	return payloads
}

func fenceRecord(version uint64) *turnpb.Record {
	return &turnpb.Record{Kind: &turnpb.Record_Fence{Fence: &turnpb.Fence{Version: version}}}
}

// encodeRecord returns the form in which a record is written to the log.
func encodeRecord(record *turnpb.Record) []byte {
	payload, err := proto.Marshal(record)
	if err != nil {
		panic("turnstore: cannot encode record: " + err.Error())
	}
	return payload
}
