package fencedlog

import (
	"context"

	"dogwoodline.example/ring"
)

// Appender appends records for one duty that waits until they are durable.
type Appender struct {
	appends *ring.Ring[Append]
}

// NewAppender returns an appender to the writer's journal.
func NewAppender(w *Writer) Appender { return Appender{appends: w.Appends()} }

// Append returns nil when all records are durable. The records are committed
// in order but not necessarily together. It returns ErrFenced,
// ErrInvalidRecord or the error of ctx; some records may then be durable.
func (a Appender) Append(ctx context.Context, records []Record) error {
	for len(records) > 0 {
		n := groupSize(records)
		if err := a.appendGroup(ctx, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

func (a Appender) appendGroup(ctx context.Context, group []Record) error {
	reply := ring.New[Completion](1)
	if err := a.appends.Push(ctx, Append{Records: group, Reply: reply}); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return ErrFenced // only a fenced or ended writer closes the ring
	}
	completion, err := reply.Pop(ctx)
	if err != nil {
		return err
	}
	switch c := completion.(type) {
	case Committed:
		return nil
	case Rejected:
		return c.Err
	default:
		return ErrFenced
	}
}

// recordOverhead bounds the encoded size of a record beyond its program id and
// data, in bytes.
const recordOverhead = 64

// groupSize returns how many of the records fit into one append, at least one.
func groupSize(records []Record) int {
	size := 0
	for i, r := range records {
		size += recordOverhead + len(r.Program) + len(r.Data)
		if i > 0 && size > MaxAppendBytes {
			return i
		}
	}
	return len(records)
}
