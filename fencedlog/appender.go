package fencedlog

import (
	"context"

	"dogwoodline.example/ring"
)

// Appender appends records to a journal for a duty that waits until they are
// durable.
type Appender struct {
	appends *ring.Ring[Append]
}

// NewAppender returns an appender to the journal of the writer.
func NewAppender(w *Writer) Appender { return Appender{appends: w.Appends()} }

// Append appends the records and returns nil once all of them are durable. The
// records are committed in order but not necessarily together. Append returns
// ErrFenced, ErrInvalidRecord or the error of ctx; some of the records may then
// be durable.
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
		return ErrFenced // the ring is closed only if the writer is fenced or has ended
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

// recordOverhead is an upper bound of the encoded size of a record without its
// program id and data, in bytes.
const recordOverhead = 64

// groupSize returns how many of the first records fit into one Append. It is at
// least one.
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
