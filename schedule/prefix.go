package schedule

// prefixIndex remembers which prompt blocks the backend servers of one cell
// are believed to hold. It is fed by this node's own grants, by the measured
// cached tokens and by cache events, which come late and with gaps, so it is
// a guess that only steers the choice.
//
// Each server's blocks are forgotten in order of arrival with a second chance
// for blocks used since. The memory is reused, so a full index allocates
// nothing.
type prefixIndex struct {
	limit  int // blocks per backend server
	byHash map[uint64]int32
	slab   []block
	free   int32
	rings  [cellSize]blockRing
}

type block struct {
	hash    uint64
	holders uint64 // servers believed to hold the block
	used    uint64 // servers that used it since it entered their ring
	refs    int32  // ring slots that refer to it
	next    int32  // in the list of free blocks
}

// blockRing is the order of arrival of one server's blocks.
type blockRing struct {
	slots       []int32
	head, count int
}

const (
	noBlock = int32(-1)
	// maxSecondChances bounds the work of one eviction.
	maxSecondChances = 4
)

func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{limit: limit, byHash: map[uint64]int32{}, free: noBlock}
}

// insert notes that the server holds the blocks. The first block enters last,
// because a prefix is useless without its beginning.
func (x *prefixIndex) insert(server int32, blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		x.touch(server, blocks[i])
	}
}

func (x *prefixIndex) touch(server int32, hash uint64) {
	bit := uint64(1) << server
	n, ok := x.byHash[hash]
	if !ok {
		n = x.alloc(hash)
	}
	b := &x.slab[n]
	if b.holders&bit != 0 {
		b.used |= bit
		return
	}
	b.holders |= bit
	b.used &^= bit
	b.refs++
	ring := &x.rings[server]
	if ring.count >= x.limit {
		x.evict(server)
	}
	ring.push(n, x.limit)
}

func (r *blockRing) push(n int32, limit int) {
	if r.slots == nil {
		r.slots = make([]int32, limit)
	}
	r.slots[(r.head+r.count)%len(r.slots)] = n
	r.count++
}

func (r *blockRing) pop() int32 {
	n := r.slots[r.head]
	r.head = (r.head + 1) % len(r.slots)
	r.count--
	return n
}

// evict forgets one block of the server.
func (x *prefixIndex) evict(server int32) {
	ring, bit := &x.rings[server], uint64(1)<<server
	for range maxSecondChances {
		n := ring.slots[ring.head]
		b := &x.slab[n]
		if b.used&b.holders&bit == 0 {
			break
		}
		b.used &^= bit
		ring.push(ring.pop(), x.limit)
	}
	x.dropOldest(server)
}

func (x *prefixIndex) dropOldest(server int32) {
	n := x.rings[server].pop()
	b := &x.slab[n]
	b.holders &^= 1 << server
	b.refs--
	if b.refs == 0 {
		delete(x.byHash, b.hash)
		b.next = x.free
		x.free = n
	}
}

// remove notes that the server no longer holds a block. Its ring slot stays
// until it is the oldest.
func (x *prefixIndex) remove(server int32, hash uint64) {
	if n, ok := x.byHash[hash]; ok {
		x.slab[n].holders &^= 1 << server
	}
}

// shrink forgets the oldest blocks of a server.
func (x *prefixIndex) shrink(server int32, blocks int) {
	for range min(blocks, x.rings[server].count) {
		x.dropOldest(server)
	}
}

// clear forgets everything about a server.
func (x *prefixIndex) clear(server int32) { x.shrink(server, x.limit) }

func (x *prefixIndex) alloc(hash uint64) int32 {
	n := x.free
	if n == noBlock {
		n = int32(len(x.slab))
		x.slab = append(x.slab, block{})
	} else {
		x.free = x.slab[n].next
	}
	x.slab[n] = block{hash: hash}
	x.byHash[hash] = n
	return n
}

func (x *prefixIndex) holders(hash uint64) uint64 {
	n, ok := x.byHash[hash]
	if !ok {
		return 0
	}
	return x.slab[n].holders
}

// match writes the believed number of cached leading blocks of each server
// to depth and returns the servers with any. The deepest held block is found
// by binary search; other servers are looked up at a few lesser depths only,
// which keeps the cost logarithmic in the length of the prompt.
func (x *prefixIndex) match(blocks []uint64, depth *[cellSize]int32) uint64 {
	low, high := 0, len(blocks) // blocks[:low] are held by some server
	for low < high {
		middle := (low + high + 1) / 2
		if x.holders(blocks[middle-1]) != 0 {
			low = middle
		} else {
			high = middle - 1
		}
	}
	var found uint64
	for d := low; d > 0; d = nextDepth(d) {
		held := x.holders(blocks[d-1]) &^ found
		found |= held
		for ; held != 0; held &= held - 1 {
			depth[lowestBit(held)] = int32(d)
		}
	}
	return found
}

func nextDepth(d int) int {
	if d <= 4 {
		return d - 1
	}
	return d * 3 / 4
}
