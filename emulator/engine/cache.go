package engine

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// eventLogSize is the maximum number of cache events that are kept. Readers that
// fall further behind miss the oldest ones.
const eventLogSize = 1 << 15

// eventBatchSize is the maximum number of events in one response. Readers
// continue after the last sequence number that they received.
const eventBatchSize = 4096

// CacheEvent reports that a prefix block was stored or evicted. A gap in the
// sequence numbers means that events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Hash     uint64 `json:"hash,string"`
	Evicted  bool   `json:"evicted,omitempty"`

	at time.Time
}

// block is a cached block of a prompt or answer.
type block struct {
	hash    uint64
	holders map[string]struct{} // programs that stored or used the block
}

// prefixCache is an LRU cache of prompt and answer blocks. A block counts
// towards the memory of every program that holds it.
type prefixCache struct {
	maxBlocks  int
	blocks     map[uint64]*list.Element
	lru        *list.List     // of *block, most recently used first
	heldBlocks map[string]int // number of blocks per program

	eventLoss float64
	random    *rand.Rand
	sequence  uint64
	eventLog  []CacheEvent
}

func newPrefixCache(limit int, loss float64, random *rand.Rand) *prefixCache {
	return &prefixCache{
		maxBlocks:  limit,
		blocks:     make(map[uint64]*list.Element),
		lru:        list.New(),
		heldBlocks: make(map[string]int),
		eventLoss:  loss,
		random:     random,
	}
}

// match returns how many leading blocks are cached, and makes the program a
// holder of these.
func (p *prefixCache) match(program string, hashes []uint64) int {
	for i, hash := range hashes {
		element, ok := p.blocks[hash]
		if !ok {
			return i
		}
		p.lru.MoveToFront(element)
		p.addHolder(element.Value.(*block), program)
	}
	return len(hashes)
}

// store adds the blocks and makes the program a holder of them. The first block
// of a prefix becomes the most recently used one, because later blocks are
// useless without it.
func (p *prefixCache) store(now time.Time, program string, hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		element, ok := p.blocks[hashes[i]]
		if ok {
			p.lru.MoveToFront(element)
		} else {
			element = p.lru.PushFront(&block{hash: hashes[i], holders: make(map[string]struct{}, 1)})
			p.blocks[hashes[i]] = element
			p.recordEvent(now, hashes[i], false)
		}
		p.addHolder(element.Value.(*block), program)
	}
	for p.lru.Len() > p.maxBlocks {
		p.evict(now, p.lru.Back())
	}
}

// release removes the program from the holders of all its blocks and evicts the
// blocks that have no holder left. It returns the number of blocks that the
// program held.
func (p *prefixCache) release(now time.Time, program string) int {
	count := p.heldBlocks[program]
	if count == 0 {
		return 0
	}
	for element := p.lru.Front(); element != nil; {
		next := element.Next()
		b := element.Value.(*block)
		if _, ok := b.holders[program]; ok {
			p.removeHolder(b, program)
			if len(b.holders) == 0 {
				p.evict(now, element)
			}
		}
		element = next
	}
	return count
}

// blocksHeldBy returns the hashes of the blocks that the program holds, most
// recently used first.
func (p *prefixCache) blocksHeldBy(program string) []uint64 {
	hashes := make([]uint64, 0, p.heldBlocks[program])
	for element := p.lru.Front(); element != nil; element = element.Next() {
		b := element.Value.(*block)
		if _, ok := b.holders[program]; ok {
			hashes = append(hashes, b.hash)
		}
	}
	return hashes
}

// eventsSince returns the published events with a sequence number above after
// that happened no later than until, up to eventBatchSize of them.
func (p *prefixCache) eventsSince(after uint64, until time.Time) []CacheEvent {
	events := make([]CacheEvent, 0)
	for _, event := range p.eventLog {
		if event.at.After(until) || len(events) == eventBatchSize {
			break
		}
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	return events
}

func (p *prefixCache) addHolder(b *block, program string) {
	if _, ok := b.holders[program]; ok {
		return
	}
	b.holders[program] = struct{}{}
	p.heldBlocks[program]++
}

func (p *prefixCache) removeHolder(b *block, program string) {
	delete(b.holders, program)
	p.heldBlocks[program]--
	if p.heldBlocks[program] == 0 {
		delete(p.heldBlocks, program)
	}
}

func (p *prefixCache) evict(now time.Time, element *list.Element) {
	b := p.lru.Remove(element).(*block)
	delete(p.blocks, b.hash)
	for program := range b.holders {
		p.removeHolder(b, program)
	}
	p.recordEvent(now, b.hash, true)
}

// recordEvent appends an event to the log, unless it is chosen to be lost. A
// lost event still uses a sequence number.
func (p *prefixCache) recordEvent(now time.Time, hash uint64, evicted bool) {
	p.sequence++
	if p.eventLoss > 0 && p.random.Float64() < p.eventLoss {
		return
	}
	if len(p.eventLog) == eventLogSize {
		p.eventLog = append(p.eventLog[:0], p.eventLog[eventLogSize/2:]...)
	}
	p.eventLog = append(p.eventLog, CacheEvent{Sequence: p.sequence, Hash: hash, Evicted: evicted, at: now})
}
