package turnstore

import (
	"dogwoodline.example/turnlog"
	"dogwoodline.example/turnstore/turnpb"
)

// hotOverhead is the memory that a content takes besides its bytes.
const hotOverhead = 240

// turn is the index entry of a stored turn.
type turn struct {
	located
	id, previous string
	expires      int64 // Unix ms; extended by the turns that continue it
	cursor       uint64
	hot          *turnpb.Turn // nil if only the log has the content
	newer, older *turn        // in the order of use, while hot
}

func (t *turn) appliedAt(cursor uint64) bool { return t.cursor == cursor }

// encode implements item.
func (t *turn) encode() *turnpb.Record {
	if t.hot == nil {
		return nil
	}
	return turnOf(t.withContent())
}

// withContent returns a hot turn with its current expiry.
func (t *turn) withContent() *turnpb.Turn {
	return &turnpb.Turn{
		Id: t.id, Previous: t.previous, Content: t.hot.Content, ExpiresUnixMs: t.expires,
		Organisation: t.hot.Organisation, BackendServer: t.hot.BackendServer,
	}
}

// withoutContent returns a turn whose content the reader adds, or which is sent without.
func (t *turn) withoutContent() *turnpb.Turn {
	return &turnpb.Turn{Id: t.id, Previous: t.previous, ExpiresUnixMs: t.expires}
}

func turnOf(t *turnpb.Turn) *turnpb.Record {
	return &turnpb.Record{Kind: &turnpb.Record_Turn{Turn: t}}
}

// hotTurns are the turns whose content is in memory, in the order of their last use. The
// store-writer goroutine owns it.
type hotTurns struct {
	newest, oldest *turn
	count          int
	bytes          int64
}

func hotSize(t *turn) int64 { return int64(len(t.hot.Content)) + hotOverhead }

// add makes a turn hot.
func (h *hotTurns) add(t *turn, content *turnpb.Turn) {
	t.hot = content
	h.bytes += hotSize(t)
	h.count++
	h.link(t)
}

// use makes a hot turn the one that was used last.
func (h *hotTurns) use(t *turn) {
	if h.newest != t {
		h.unlink(t)
		h.link(t)
	}
}

// remove makes a turn cold. It has no effect on a cold one.
func (h *hotTurns) remove(t *turn) {
	if t.hot == nil {
		return
	}
	h.unlink(t)
	h.bytes -= hotSize(t)
	h.count--
	t.hot = nil
}

// evict makes the turns cold that were not used for longest, until the others take at most
// limit bytes. A turn that is not in the log yet stays, and those after it do too.
func (h *hotTurns) evict(limit int64) {
	for h.bytes > limit && h.oldest != nil && h.oldest.at.Segment != 0 {
		h.remove(h.oldest)
	}
}

func (h *hotTurns) link(t *turn) {
	t.older = h.newest
	if h.newest != nil {
		h.newest.newer = t
	} else {
		h.oldest = t
	}
	h.newest = t
}

func (h *hotTurns) unlink(t *turn) {
	if t.newer != nil {
		t.newer.older = t.older
	} else {
		h.newest = t.older
	}
	if t.older != nil {
		t.older.newer = t.newer
	} else {
		h.oldest = t.newer
	}
	t.newer, t.older = nil, nil
}

// coldTurn is a turn of a reply whose content the reader adds from the log.
type coldTurn struct {
	turn *turnpb.Turn
	at   turnlog.Position
}

// coldTurns collects the turns of one reply that the reader has to complete.
type coldTurns []coldTurn

// add adds a turn and returns its incomplete form.
func (c *coldTurns) add(t *turn) *turnpb.Turn {
	incomplete := t.withoutContent()
	*c = append(*c, coldTurn{turn: incomplete, at: t.at})
	return incomplete
}
