package engine

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// eventLogSize is the number of cache events that the engine keeps for
// readers. Older ones are lost to readers that come later.
const eventLogSize = 1 << 15

// eventBatch is the largest number of events in one answer. Readers go on
// with the last sequence number that they got.
const eventBatch = 4096

// CacheEvent tells that a prefix block was stored or evicted. A missing
// sequence number is an event that was lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Hash     uint64 `json:"hash,string"`
	Evicted  bool   `json:"evicted,omitempty"`

	at time.Time
}

type block struct {
	hash    uint64
	holders map[string]struct{} // programs that stored or used the block
}

// prefixCache holds prompt blocks up to a limit and evicts the least recently
// used one. A block counts for every program that holds it.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	recent *list.List // of *block, most recently used first
	held   map[string]int

	loss     float64
	random   *rand.Rand
	sequence uint64
	log      []CacheEvent
}

func newPrefixCache(limit int, loss float64, random *rand.Rand) *prefixCache {
	return &prefixCache{
		limit:  limit,
		blocks: make(map[uint64]*list.Element),
		recent: list.New(),
		held:   make(map[string]int),
		loss:   loss,
		random: random,
	}
}

// match returns how many leading blocks are cached and makes the program a
// holder of them.
func (p *prefixCache) match(program string, hashes []uint64) int {
	for i, hash := range hashes {
		element, ok := p.blocks[hash]
		if !ok {
			return i
		}
		p.recent.MoveToFront(element)
		p.hold(element.Value.(*block), program)
	}
	return len(hashes)
}

// store adds the blocks, held by the program. The first block of a prefix is
// made the most recently used one, since later blocks are useless without it.
func (p *prefixCache) store(now time.Time, program string, hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		element, ok := p.blocks[hashes[i]]
		if ok {
			p.recent.MoveToFront(element)
		} else {
			element = p.recent.PushFront(&block{hash: hashes[i], holders: make(map[string]struct{}, 1)})
			p.blocks[hashes[i]] = element
			p.record(now, hashes[i], false)
		}
		p.hold(element.Value.(*block), program)
	}
	for p.recent.Len() > p.limit {
		p.evict(now, p.recent.Back())
	}
}

// release takes the program off all its blocks and evicts those that no other
// program holds. It returns the number of blocks that the program held.
func (p *prefixCache) release(now time.Time, program string) int {
	count := p.held[program]
	if count == 0 {
		return 0
	}
	for element := p.recent.Front(); element != nil; {
		next := element.Next()
		b := element.Value.(*block)
		if _, ok := b.holders[program]; ok {
			p.drop(b, program)
			if len(b.holders) == 0 {
				p.evict(now, element)
			}
		}
		element = next
	}
	return count
}

// heldBy returns the hashes of the blocks that the program holds, most
// recently used first.
func (p *prefixCache) heldBy(program string) []uint64 {
	hashes := make([]uint64, 0, p.held[program])
	for element := p.recent.Front(); element != nil; element = element.Next() {
		b := element.Value.(*block)
		if _, ok := b.holders[program]; ok {
			hashes = append(hashes, b.hash)
		}
	}
	return hashes
}

// since returns the published events after the sequence number that happened
// up to the given time.
func (p *prefixCache) since(after uint64, until time.Time) []CacheEvent {
	events := make([]CacheEvent, 0)
	for _, event := range p.log {
		if event.at.After(until) || len(events) == eventBatch {
			break
		}
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	return events
}

func (p *prefixCache) hold(b *block, program string) {
	if _, ok := b.holders[program]; ok {
		return
	}
	b.holders[program] = struct{}{}
	p.held[program]++
}

func (p *prefixCache) drop(b *block, program string) {
	delete(b.holders, program)
	p.held[program]--
	if p.held[program] == 0 {
		delete(p.held, program)
	}
}

func (p *prefixCache) evict(now time.Time, element *list.Element) {
	b := p.recent.Remove(element).(*block)
	delete(p.blocks, b.hash)
	for program := range b.holders {
		p.drop(b, program)
	}
	p.record(now, b.hash, true)
}

func (p *prefixCache) record(now time.Time, hash uint64, evicted bool) {
	p.sequence++
	if p.loss > 0 && p.random.Float64() < p.loss {
		return
	}
	if len(p.log) == eventLogSize {
		p.log = append(p.log[:0], p.log[eventLogSize/2:]...)
	}
	p.log = append(p.log, CacheEvent{Sequence: p.sequence, Hash: hash, Evicted: evicted, at: now})
}
