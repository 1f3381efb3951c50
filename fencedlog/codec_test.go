package fencedlog

import (
	"bytes"
	"errors"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
)

func exampleHead() head {
	h := head{incarnation: "a1", commit: 9, sealed: true, firstSegment: 2, openSegment: 4, holders: []string{"b1", "c1"}}
	h.body = appendRecord(h.body, Record{Shard: 7, Program: "p", Seq: 3, Ended: true, Data: []byte("x")})
	h.body = appendRecord(h.body, AdoptionBegin(7, 12, true))
	return h
}

// Guards against a decoder that accepts a value which it cannot encode again
// without change, and against one that panics on a damaged value.
func FuzzDecode(f *testing.F) {
	f.Add(appendHead(nil, exampleHead()))
	f.Add([]byte{})
	f.Add(appendHead(nil, head{incarnation: "b", body: []byte{0xff}}))
	f.Fuzz(func(t *testing.T, value []byte) {
		h, err := decodeHead(value)
		if err != nil {
			if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrFormat) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		records, err := decodeRecords(h.body)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		var body []byte
		for _, r := range records {
			body = appendRecord(body, r)
		}
		h.body = body
		again, err := decodeHead(appendHead(nil, h))
		if err != nil || !bytes.Equal(again.body, h.body) || again.incarnation != h.incarnation || again.commit != h.commit {
			t.Fatalf("value changes when encoded again: %v, %+v, %+v", err, h, again)
		}
	})
}

// Guards against a build that misreads a value written by a newer build, or one
// that was truncated or extended.
func TestDecodeRejects(t *testing.T) {
	good := appendHead(nil, exampleHead())
	if h, err := decodeHead(good); err != nil || h.commit != 9 || !h.sealed || h.firstSegment != 2 || h.openSegment != 4 || len(h.holders) != 2 || h.holders[1] != "c1" {
		t.Fatalf("valid head: %+v, %v", h, err)
	}
	old := exampleHead()
	old.holders = nil
	if h, err := decodeHead(appendHead(nil, old)); err != nil || h.holders != nil {
		t.Fatalf("head without holders: %+v, %v", h, err)
	}
	unknownField := protowire.AppendVarint(protowire.AppendTag(bytes.Clone(good), 99, protowire.VarintType), 1)
	noRecordProgram := append(bytes.Clone(good), appendRecord(nil, Record{Shard: 1, Seq: 1})...)
	for name, test := range map[string]struct {
		value []byte
		want  error
	}{
		"empty":                    {nil, ErrFormat},
		"truncated":                {good[:len(good)-1], ErrMalformed},
		"unknown field":            {unknownField, ErrMalformed},
		"newer format version":     {bytes.Replace(good, []byte{8, 1}, []byte{8, 2}, 1), ErrFormat},
		"no incarnation":           {appendHead(nil, head{commit: 1}), ErrMalformed},
		"first segment after open": {appendHead(nil, head{incarnation: "a", firstSegment: 2, openSegment: 1}), ErrMalformed},
		"record without program":   {noRecordProgram, ErrMalformed},
	} {
		h, err := decodeHead(test.value)
		if err == nil {
			_, err = decodeRecords(h.body)
		}
		if !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", name, err, test.want)
		}
	}
}

// Guards against the replay of a copy that was committed: compaction may have
// removed the records that superseded it, and an ended program would be running
// again. Also guards against the replay of copies of a journal that is not
// sealed, whose owner still commits.
func TestUncommitted(t *testing.T) {
	copyOf := func(n, commit uint64) Copy {
		return Copy{Number: n, Commit: commit, Body: appendRecord(nil, Record{Program: "p", Seq: n})}
	}
	copies := []Copy{copyOf(4, 11), copyOf(3, 10), copyOf(2, 9), copyOf(1, 8)}
	h := exampleHead() // sealed after commit 9
	records, err := uncommitted(h, copies)
	if err != nil || len(records) != 2 || records[0].Seq != 3 || records[1].Seq != 4 {
		t.Fatalf("sealed: %+v, %v", records, err)
	}
	h.sealed = false
	if records, err := uncommitted(h, copies); err != nil || len(records) != 0 {
		t.Fatalf("not sealed: %+v, %v", records, err)
	}
	h.sealed = true
	if _, err := uncommitted(h, []Copy{{Number: 1, Commit: 10, Body: []byte{0xff}}}); !errors.Is(err, ErrMalformed) {
		t.Fatalf("malformed copy: %v", err)
	}
}
