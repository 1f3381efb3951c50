package schedule

// prefixIndex tracks which prompt blocks the backend servers of one cell are
// assumed to cache. Its sources are this node's own grants, the measured
// cached tokens, and cache events, which arrive late and with gaps. It is
// therefore an estimate, used only to choose a backend server.
//
// Each server's blocks are evicted in order of insertion, with a second chance
// for blocks used since. The memory is reused, so a full index allocates
// nothing.
type prefixIndex struct {
	limit  int              // blocks per backend server
	byHash map[uint64]int32 // position in slab
	slab   []block
	free   int32 // head of the list of free blocks in slab
	rings  [maxCellServers]blockRing
}

// block is one prompt block. Its sets of servers are bit masks over the index
// of a server in the cell.
type block struct {
	hash    uint64
	holders uint64 // servers assumed to cache the block
	used    uint64 // servers that used it again since it entered their ring
	refs    int32  // ring slots that refer to it
	next    int32  // in the list of free blocks
}

// blockRing is a FIFO queue of one server's blocks, in order of insertion.
type blockRing struct {
	slots       []int32
	head, count int
}

const (
	// noBlock ends the list of free blocks.
	noBlock = int32(-1)
	// maxSecondChances bounds the work of one eviction.
	maxSecondChances = 4
)

func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{limit: limit, byHash: map[uint64]int32{}, free: noBlock}
}

// insert records that the server caches the blocks. The first block enters the
// ring last and so is evicted last, because a prefix is useless without its
// beginning.
func (x *prefixIndex) insert(server int32, blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		x.touch(server, blocks[i])
	}
}

// touch records that the server caches a block, or used it again.
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

// evict drops the oldest block of the server that was not used again. After
// maxSecondChances blocks it drops the next one in any case.
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

// remove records that the server no longer caches a block. The ring slot of
// the block stays until it is the oldest.
func (x *prefixIndex) remove(server int32, hash uint64) {
	if n, ok := x.byHash[hash]; ok {
		x.slab[n].holders &^= 1 << server
	}
}

// shrink drops the given number of the oldest blocks of a server.
func (x *prefixIndex) shrink(server int32, blocks int) {
	for range min(blocks, x.rings[server].count) {
		x.dropOldest(server)
	}
}

// clear drops all blocks of a server.
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

// holders returns the set of servers that are assumed to cache a block.
func (x *prefixIndex) holders(hash uint64) uint64 {
	n, ok := x.byHash[hash]
	if !ok {
		return 0
	}
	return x.slab[n].holders
}

// match returns the set of servers that are assumed to cache leading blocks, and
// writes the number of these blocks to depth for each server of the set; the
// other entries of depth keep their values. It finds the deepest cached block by
// binary search and probes only a few smaller depths for other servers, which
// keeps the cost logarithmic in the length of the prompt.
func (x *prefixIndex) match(blocks []uint64, depth *[maxCellServers]int32) uint64 {
	low, high := 0, len(blocks) // blocks[:low] are cached by some server
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
		holders := x.holders(blocks[d-1]) &^ found
		found |= holders
		for ; holders != 0; holders &= holders - 1 {
			depth[lowestBit(holders)] = int32(d)
		}
	}
	return found
}

// nextDepth returns the next smaller depth to probe: a quarter less, or one
// less for small depths.
func nextDepth(d int) int {
	if d <= 4 {
		return d - 1
	}
	return d * 3 / 4
}
