package schedule

// indexHeap is a binary min-heap whose items know their position, so that any
// item can be removed or moved in logarithmic time. Each kind of heap has its
// own type of link to the position, given by the functions.
type indexHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(item T, position int)
}

// notQueued is the position of items that are in no heap.
const notQueued = -1

func (h *indexHeap[T]) len() int { return len(h.items) }

func (h *indexHeap[T]) top() T { return h.items[0] }

func (h *indexHeap[T]) push(item T) {
	h.items = append(h.items, item)
	h.place(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *indexHeap[T]) remove(position int) T {
	var zero T
	last := len(h.items) - 1
	h.swap(position, last)
	item := h.items[last]
	h.items[last] = zero // lets the garbage collector free the item
	h.items = h.items[:last]
	h.place(item, notQueued)
	if position < last {
		h.fix(position)
	}
	return item
}

// fix restores the order after the key of the item at position changed.
func (h *indexHeap[T]) fix(position int) {
	if !h.down(position) {
		h.up(position)
	}
}

func (h *indexHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h *indexHeap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
}
