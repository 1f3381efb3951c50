package turnstore

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"dogwoodline.example/turnlog"
	"dogwoodline.example/turnstore/turnpb"
)

// Numbers of fields of Record and Turn in turn.proto.
const (
	recordTurnField   = 3
	turnIDField       = 1
	turnPreviousField = 2
	turnExpiresField  = 4
)

// replay applies a record of the log at a start. Turns stay cold: their contents would
// only be dropped again, and decoding those of a full disk costs most of the time in which
// a store has to be ready.
func (s *Server) replay(at turnlog.Position, payload []byte) error {
	if turn, isTurn := decodeTurnIndex(payload); isTurn {
		s.state.place(s.state.indexTurn(turn), at)
		return nil
	}
	var record turnpb.Record
	if err := proto.Unmarshal(payload, &record); err != nil {
		return Error.New("record with a valid checksum cannot be decoded: %v", err)
	}
	if clock := record.GetClock(); clock != nil {
		s.state.arrivals.mark(time.UnixMilli(clock.UnixMs), s.state.nextCursor)
	}
	if item, _ := s.state.apply(&record); item != nil {
		s.state.place(item, at)
	}
	return nil
}

// turnIndex is what the index needs of a turn. The slices are parts of the record.
type turnIndex struct {
	id, previous []byte
	expires      int64
}

// decodeTurnIndex decodes the record of a turn without its content. It reports false for
// other records, and for one that is not as it should be.
func decodeTurnIndex(payload []byte) (turnIndex, bool) {
	number, kind, size := protowire.ConsumeTag(payload)
	if size < 0 || number != recordTurnField || kind != protowire.BytesType {
		return turnIndex{}, false
	}
	fields, length := protowire.ConsumeBytes(payload[size:])
	if length < 0 || size+length != len(payload) {
		return turnIndex{}, false
	}
	var t turnIndex
	for len(fields) > 0 {
		number, kind, size := protowire.ConsumeTag(fields)
		if size < 0 {
			return turnIndex{}, false
		}
		value := fields[size:]
		length := protowire.ConsumeFieldValue(number, kind, value)
		if length < 0 {
			return turnIndex{}, false
		}
		switch number {
		case turnIDField:
			t.id, _ = protowire.ConsumeBytes(value)
		case turnPreviousField:
			t.previous, _ = protowire.ConsumeBytes(value)
		case turnExpiresField:
			expires, _ := protowire.ConsumeVarint(value)
			t.expires = int64(expires)
		}
		fields = value[length:]
	}
	return t, len(t.id) > 0
}

// indexTurn adds a turn of the log, without its content, and returns its item.
func (s *state) indexTurn(t turnIndex) item {
	if known := s.turns[string(t.id)]; known != nil {
		s.extendExpiry(known.id, t.expires)
		return known
	}
	previous := ""
	if before := s.turns[string(t.previous)]; before != nil {
		previous = before.id // shares its memory
	} else {
		previous = string(t.previous)
	}
	return s.addTurn(string(t.id), previous, t.expires)
}
