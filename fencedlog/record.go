// Package fencedlog keeps the group-committed journal of one node incarnation
// in the platform store.
//
// The journal is a head, which is written only by compare-and-swap, and closed
// segments. The head is also the fence of its owner: sealing is a swap of the
// same key, so whichever of a commit and a seal comes first wins. The records
// are opaque to this package.
package fencedlog

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("journal")

var (
	// ErrFenced reports that the head is sealed, deleted or not this
	// incarnation's own. It is final: the incarnation can record nothing more.
	ErrFenced = Error.New("fenced: the head is sealed or belongs to another incarnation")
	// ErrMalformed reports a stored value that cannot be decoded.
	ErrMalformed = Error.New("malformed value")
	// ErrFormat reports a stored value of a format version that this build
	// does not know.
	ErrFormat = Error.New("unknown format version")
	// ErrInvalidRecord reports a record without a program, with a shard out of
	// range, or a record or group of records above its size limit.
	ErrInvalidRecord = Error.New("invalid record")
	// ErrNotSealed reports that a journal which is still open was to be
	// deleted.
	ErrNotSealed = Error.New("journal is not sealed")
	// ErrMissingSegment reports that a segment which the head names is absent.
	ErrMissingSegment = Error.New("segment is missing")
)

const (
	// MaxRecordBytes is the largest Data of one record, in bytes.
	MaxRecordBytes = 256 << 10
	// MaxAppendBytes is the largest encoded size of the records of one Append
	// and of one commit, in bytes. With the open segment of at most 128 KB
	// before a commit, the head stays below the store's limit of 1 MB.
	MaxAppendBytes = 512 << 10
	// MaxProgramBytes is the longest program id, in bytes.
	MaxProgramBytes = 512
	// MaxShard is the largest shard number.
	MaxShard = 1<<20 - 1
)

// Record is one entry of a journal. Program and Seq identify it: two records
// with the same Program and Seq are copies of each other.
type Record struct {
	Shard   int
	Program string
	Seq     uint64
	// Ended marks the last record of a program. Compaction keeps it as long as
	// the journal holds any other record of the program, so that a replay never
	// shows an ended program as a running one.
	Ended bool
	Data  []byte

	kind kind
}

// kind tells program records from the marks that adoption and handoff write.
type kind uint64

const (
	kindProgram    kind = iota
	kindAdopt           // the shard is adopted from other journals
	kindReadopt         // as kindAdopt; this journal is one of the sources
	kindAdopted         // the adoption of the same generation is complete
	kindHandoff         // all records of the shard precede this one
	kindUpperBound      // not a kind
)

// AdoptionBegin returns the mark that precedes the adopted records of a shard.
// Records of the shard before it are of an earlier ownership, and Replay drops
// them: otherwise a program that ended while the shard was elsewhere would come
// back. If ownSource is set, this journal is itself one of the sources, and
// they are dropped only when the mark of AdoptionEnd follows. Generation tells
// one adoption of the shard from another.
func AdoptionBegin(shard int, generation uint64, ownSource bool) Record {
	if ownSource {
		return Record{Shard: shard, Seq: generation, kind: kindReadopt}
	}
	return Record{Shard: shard, Seq: generation, kind: kindAdopt}
}

// AdoptionEnd returns the mark that follows the adopted records of a shard.
func AdoptionEnd(shard int, generation uint64) Record {
	return Record{Shard: shard, Seq: generation, kind: kindAdopted}
}

// Handoff returns the mark that an owner commits before it gives the shard
// away. Because records keep their order, all earlier records of the shard are
// durable once the mark is.
func Handoff(shard int) Record {
	return Record{Shard: shard, kind: kindHandoff}
}

func (r Record) validate() error {
	switch {
	case r.Shard < 0 || r.Shard > MaxShard:
		return fmt.Errorf("%w: shard %d is out of range", ErrInvalidRecord, r.Shard)
	case r.kind == kindProgram && r.Program == "":
		return fmt.Errorf("%w: no program id", ErrInvalidRecord)
	case len(r.Program) > MaxProgramBytes:
		return fmt.Errorf("%w: program id of %d bytes", ErrInvalidRecord, len(r.Program))
	case len(r.Data) > MaxRecordBytes:
		return fmt.Errorf("%w: data of %d bytes", ErrInvalidRecord, len(r.Data))
	}
	return nil
}

// HeadKey returns the store key of the head of a journal.
func HeadKey(incarnation string) string { return keyPrefix(incarnation) + "head" }

func segmentKey(incarnation string, n uint64) string {
	return fmt.Sprintf("%sseg/%d", keyPrefix(incarnation), n)
}

func keyPrefix(incarnation string) string { return "journal/" + incarnation + "/" }
