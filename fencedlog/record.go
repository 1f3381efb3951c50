// Package fencedlog keeps a journal with group commit and fencing in the
// platform store. Each incarnation of a node, that is each run of its process,
// has a journal of its own.
//
// A journal consists of a head, which is written only by compare-and-swap, and
// of closed segments with older records. The head also fences the owner of the
// journal: another node seals the journal by a compare-and-swap of the same key,
// so of a commit and a seal that race, the first one wins, and no commit follows
// a seal. While the store does not answer, the owner can copy its uncommitted
// records to other nodes, the holders. The data of the records is opaque to this
// package.
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
	// ErrInvalidRecord reports a record without a program id or with a shard
	// out of range, or a record or an Append above its size limit.
	ErrInvalidRecord = Error.New("invalid record")
	// ErrNotSealed reports that Delete was called for a journal that is not
	// sealed.
	ErrNotSealed = Error.New("journal is not sealed")
	// ErrMissingSegment reports that the store has no value for a segment that
	// the head names.
	ErrMissingSegment = Error.New("segment is missing")
)

const (
	// MaxRecordBytes is the largest Data of one record, in bytes.
	MaxRecordBytes = 256 << 10
	// MaxAppendBytes is the largest encoded size of the records of one Append,
	// and of the records that one commit adds to the head, in bytes. The
	// records in the head before a commit have at most 128 KB, so the head
	// stays below the store's limit of 1 MB.
	MaxAppendBytes = 512 << 10
	// MaxProgramBytes is the largest length of a program id, in bytes.
	MaxProgramBytes = 512
	// MaxShard is the largest shard number.
	MaxShard = 1<<20 - 1
)

// Record is one record of a journal. Program and Seq identify it: two records
// with the same Program and Seq are duplicates.
type Record struct {
	Shard   int
	Program string
	Seq     uint64
	// Ended is set on the last record of a program. Compaction keeps that
	// record as long as the journal has any other record of the program, so
	// that a replay never shows an ended program as a running one.
	Ended bool
	Data  []byte

	kind kind
}

// kind distinguishes the records of programs from the markers that adoption and
// handoff write.
type kind uint64

const (
	kindProgram          kind = iota
	kindAdoptionBegin         // start of the adoption of the shard from other journals
	kindOwnAdoptionBegin      // as kindAdoptionBegin, if this journal is one of the sources
	kindAdoptionEnd           // end of the adoption of the same generation
	kindHandoff               // all records of the shard precede this one
	kindUpperBound            // one above the largest kind
)

// AdoptionBegin returns the marker that precedes the adopted records of a shard:
// those that its new owner replayed from the journals of earlier owners, the
// sources, and appends to its own journal. Records of the shard before the
// marker date from an earlier ownership, and Replay drops them: otherwise a
// program that ended while another node owned the shard would be running again.
// If ownSource is set, this journal is itself one of the sources, and the records
// are dropped only if the marker of AdoptionEnd follows. The generation
// distinguishes the adoptions of a shard from each other.
func AdoptionBegin(shard int, generation uint64, ownSource bool) Record {
	if ownSource {
		return Record{Shard: shard, Seq: generation, kind: kindOwnAdoptionBegin}
	}
	return Record{Shard: shard, Seq: generation, kind: kindAdoptionBegin}
}

// AdoptionEnd returns the marker that follows the adopted records of a shard.
func AdoptionEnd(shard int, generation uint64) Record {
	return Record{Shard: shard, Seq: generation, kind: kindAdoptionEnd}
}

// Handoff returns the marker that an owner commits before it hands the shard to
// another node. Because records are committed in order, all earlier records of
// the shard are durable once the marker is.
func Handoff(shard int) Record {
	return Record{Shard: shard, kind: kindHandoff}
}

func (r Record) validate() error {
	switch {
	case r.Shard < 0 || r.Shard > MaxShard:
		return fmt.Errorf("%w: shard %d is out of range", ErrInvalidRecord, r.Shard)
	case r.kind == kindProgram && r.Program == "":
		return fmt.Errorf("%w: program id is missing", ErrInvalidRecord)
	case len(r.Program) > MaxProgramBytes:
		return fmt.Errorf("%w: program id of %d bytes is too long", ErrInvalidRecord, len(r.Program))
	case len(r.Data) > MaxRecordBytes:
		return fmt.Errorf("%w: data of %d bytes is too large", ErrInvalidRecord, len(r.Data))
	}
	return nil
}

// HeadKey returns the store key of the head of a journal.
func HeadKey(incarnation string) string { return keyPrefix(incarnation) + "head" }

func segmentKey(incarnation string, n uint64) string {
	return fmt.Sprintf("%sseg/%d", keyPrefix(incarnation), n)
}

func keyPrefix(incarnation string) string { return "journal/" + incarnation + "/" }
