package fencedlog

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// formatVersion is the version of the encoding. The decoder rejects all others.
const formatVersion = 1

// Field numbers of a head or segment. The protobuf wire format is used because
// it lets a commit append new records to those that are encoded already.
const (
	fieldFormat protowire.Number = iota + 1
	fieldIncarnation
	fieldCommit
	fieldSealed
	fieldFirst
	fieldOpen
	fieldRecord
	fieldHolder // absent in heads written by builds that made no copies at holders
)

// Field numbers of a record.
const (
	fieldShard protowire.Number = iota + 1
	fieldProgram
	fieldSeq
	fieldEnded
	fieldData
	fieldKind
)

// head is the decoded value of a head or of a closed segment. A closed segment
// has only the incarnation, its own number in openSegment, and the records.
type head struct {
	incarnation  string
	commit       uint64 // number of the last commit; 0 if the owner never wrote
	sealed       bool
	firstSegment uint64   // number of the oldest closed segment
	openSegment  uint64   // number of the segment whose records are in the head
	holders      []string // incarnations that may hold copies of uncommitted records
	body         []byte   // encoded records
}

func appendHead(dst []byte, h head) []byte {
	dst = appendUint(dst, fieldFormat, formatVersion)
	dst = protowire.AppendTag(dst, fieldIncarnation, protowire.BytesType)
	dst = protowire.AppendString(dst, h.incarnation)
	dst = appendUint(dst, fieldCommit, h.commit)
	dst = appendUint(dst, fieldSealed, protowire.EncodeBool(h.sealed))
	dst = appendUint(dst, fieldFirst, h.firstSegment)
	dst = appendUint(dst, fieldOpen, h.openSegment)
	for _, holder := range h.holders {
		dst = protowire.AppendTag(dst, fieldHolder, protowire.BytesType)
		dst = protowire.AppendString(dst, holder)
	}
	return append(dst, h.body...)
}

func appendRecord(dst []byte, r Record) []byte {
	var inner []byte
	inner = appendUint(inner, fieldShard, uint64(r.Shard))
	if r.Program != "" {
		inner = protowire.AppendTag(inner, fieldProgram, protowire.BytesType)
		inner = protowire.AppendString(inner, r.Program)
	}
	inner = appendUint(inner, fieldSeq, r.Seq)
	inner = appendUint(inner, fieldEnded, protowire.EncodeBool(r.Ended))
	inner = appendUint(inner, fieldKind, uint64(r.kind))
	if len(r.Data) > 0 {
		inner = protowire.AppendTag(inner, fieldData, protowire.BytesType)
		inner = protowire.AppendBytes(inner, r.Data)
	}
	dst = protowire.AppendTag(dst, fieldRecord, protowire.BytesType)
	return protowire.AppendBytes(dst, inner)
}

func appendUint(dst []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, number, protowire.VarintType)
	return protowire.AppendVarint(dst, value)
}

// field is one decoded field. Its value is in varint or bytes, depending on the
// wire type in kind.
type field struct {
	id     protowire.Number
	kind   protowire.Type
	varint uint64
	bytes  []byte
}

// nextField decodes the first field of src and returns it with the rest of src.
func nextField(src []byte) (field, []byte, error) {
	id, kind, n := protowire.ConsumeTag(src)
	if n < 0 {
		return field{}, nil, malformed(protowire.ParseError(n))
	}
	src = src[n:]
	f := field{id: id, kind: kind}
	switch kind {
	case protowire.VarintType:
		f.varint, n = protowire.ConsumeVarint(src)
	case protowire.BytesType:
		f.bytes, n = protowire.ConsumeBytes(src)
	default:
		return field{}, nil, malformed(fmt.Errorf("unsupported wire type %d", kind))
	}
	if n < 0 {
		return field{}, nil, malformed(protowire.ParseError(n))
	}
	return f, src[n:], nil
}

// decodeHead decodes a head or a segment, except for the records in its body,
// which decodeRecords decodes. It returns ErrMalformed or ErrFormat.
func decodeHead(src []byte) (head, error) {
	var h head
	var format uint64
	for len(src) > 0 {
		unparsed := src
		f, rest, err := nextField(src)
		if err != nil {
			return head{}, err
		}
		src = rest
		switch {
		case f.id == fieldRecord && f.kind == protowire.BytesType:
			h.body = append(h.body, unparsed[:len(unparsed)-len(rest)]...)
		case f.id == fieldIncarnation && f.kind == protowire.BytesType:
			h.incarnation = string(f.bytes)
		case f.id == fieldHolder && f.kind == protowire.BytesType:
			h.holders = append(h.holders, string(f.bytes))
		case f.id == fieldFormat && f.kind == protowire.VarintType:
			format = f.varint
		case f.id == fieldCommit && f.kind == protowire.VarintType:
			h.commit = f.varint
		case f.id == fieldSealed && f.kind == protowire.VarintType:
			h.sealed = protowire.DecodeBool(f.varint)
		case f.id == fieldFirst && f.kind == protowire.VarintType:
			h.firstSegment = f.varint
		case f.id == fieldOpen && f.kind == protowire.VarintType:
			h.openSegment = f.varint
		default:
			return head{}, malformed(fmt.Errorf("unknown field %d of wire type %d", f.id, f.kind))
		}
	}
	switch {
	case format != formatVersion:
		return head{}, fmt.Errorf("%w: %d", ErrFormat, format)
	case h.incarnation == "":
		return head{}, malformed(fmt.Errorf("incarnation is missing"))
	case h.firstSegment > h.openSegment:
		return head{}, malformed(fmt.Errorf("first segment %d is after the open segment %d", h.firstSegment, h.openSegment))
	}
	return h, nil
}

// decodeRecords decodes the body of a head, segment or copy. It keeps the order
// of the records and returns ErrMalformed.
func decodeRecords(body []byte) ([]Record, error) {
	var records []Record
	for len(body) > 0 {
		f, rest, err := nextField(body)
		if err != nil {
			return nil, err
		}
		if f.id != fieldRecord || f.kind != protowire.BytesType {
			return nil, malformed(fmt.Errorf("field %d in the place of a record", f.id))
		}
		record, err := decodeRecord(f.bytes)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
		body = rest
	}
	return records, nil
}

func decodeRecord(src []byte) (Record, error) {
	var r Record
	for len(src) > 0 {
		f, rest, err := nextField(src)
		if err != nil {
			return Record{}, err
		}
		src = rest
		switch {
		case f.id == fieldShard && f.kind == protowire.VarintType:
			if f.varint > MaxShard {
				return Record{}, malformed(fmt.Errorf("shard %d is out of range", f.varint))
			}
			r.Shard = int(f.varint)
		case f.id == fieldProgram && f.kind == protowire.BytesType:
			r.Program = string(f.bytes)
		case f.id == fieldSeq && f.kind == protowire.VarintType:
			r.Seq = f.varint
		case f.id == fieldEnded && f.kind == protowire.VarintType:
			r.Ended = protowire.DecodeBool(f.varint)
		case f.id == fieldData && f.kind == protowire.BytesType:
			r.Data = append([]byte(nil), f.bytes...)
		case f.id == fieldKind && f.kind == protowire.VarintType:
			r.kind = kind(f.varint)
		default:
			return Record{}, malformed(fmt.Errorf("unknown field %d of wire type %d in a record", f.id, f.kind))
		}
	}
	if r.kind >= kindUpperBound {
		return Record{}, malformed(fmt.Errorf("unknown record kind %d", r.kind))
	}
	if err := r.validate(); err != nil {
		return Record{}, malformed(err)
	}
	return r, nil
}

func malformed(cause error) error {
	return fmt.Errorf("%w: %w", ErrMalformed, cause)
}
