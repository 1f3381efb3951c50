package turnstore

import (
	"math/rand/v2"
	"time"

	"dogwoodline.example/turnstore/turnpb"
)

// maxNews bounds the crashes and announced facts that a store passes on; beyond
// it, the oldest are dropped. A server that ends interrupts some tens of calls, each
// of which is reported.
const maxNews = 4096

// news holds what a store passes on between front servers: crashes, and the facts
// that are announced. Its entries are numbered, so that each front server receives
// each of them once. The store-writer goroutine owns it.
type news struct {
	list        []*newsEntry
	firstNumber uint64                // number of list[0]
	byKey       map[string]*newsEntry // the crashes in list
	numbering   uint64                // differs after each start
}

// newsEntry is a crash or an announced fact.
type newsEntry struct {
	located // of the crash; a fact has an entry of its own
	crash   *turnpb.Crash
	cursor  uint64
	fact    *turnpb.Fact
}

func (e *newsEntry) appliedAt(cursor uint64) bool { return e.cursor == cursor }

func (e *newsEntry) encode() *turnpb.Record { return crashRecord(e.crash) }

func newNews() *news {
	return &news{firstNumber: 1, byKey: map[string]*newsEntry{}, numbering: rand.Uint64()}
}

func (e *newsEntry) expires() int64 {
	if e.fact != nil {
		return e.fact.ExpiresUnixMs
	}
	return e.crash.ExpiresUnixMs
}

// add adds a report and returns its entry, or nil if it is known.
func (n *news) add(crash *turnpb.Crash) *newsEntry {
	key := crashKey(crash)
	if n.byKey[key] != nil {
		return nil
	}
	entry := &newsEntry{crash: crash}
	n.byKey[key] = entry
	n.list = append(n.list, entry)
	return entry
}

// announce adds a fact that the store holds.
func (n *news) announce(fact *turnpb.Fact) { n.list = append(n.list, &newsEntry{fact: fact}) }

// expire drops expired and surplus entries and returns the crashes among them.
func (n *news) expire(now time.Time) (dropped []*newsEntry) {
	for len(n.list) > 0 && (len(n.list) > maxNews || n.list[0].expires() < now.UnixMilli()) {
		if crash := n.list[0].crash; crash != nil {
			delete(n.byKey, crashKey(crash))
			dropped = append(dropped, n.list[0])
		}
		n.list = n.list[1:]
		n.firstNumber++
	}
	return dropped
}

// after adds the entries whose number is above the given one to a reply. A number of
// another numbering counts as 0.
func (n *news) after(number, numbering uint64, out *turnpb.ExchangeReply) {
	if numbering != n.numbering {
		number = 0
	}
	last := n.firstNumber + uint64(len(n.list)) - 1
	for next := max(number+1, n.firstNumber); next <= last; next++ {
		entry := n.list[next-n.firstNumber]
		if entry.fact != nil {
			out.Announced = append(out.Announced, entry.fact)
		} else {
			out.Crashes = append(out.Crashes, entry.crash)
		}
	}
	out.LastNews, out.NewsNumbering = last, n.numbering
}
