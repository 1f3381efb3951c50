package schedule

// indexHeap is a binary min-heap whose items store their position in it, so that
// any item can be removed or moved in logarithmic time.
type indexHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// setIndex stores the position in the item. An item that is in several
	// heaps has a field for each.
	setIndex func(item T, index int)
}

// notInHeap is the position of items that are not in the heap.
const notInHeap = -1

func (h *indexHeap[T]) len() int { return len(h.items) }

func (h *indexHeap[T]) top() T { return h.items[0] }

func (h *indexHeap[T]) push(item T) {
	h.items = append(h.items, item)
	h.setIndex(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *indexHeap[T]) remove(index int) T {
	var zero T
	last := len(h.items) - 1
	h.swap(index, last)
	item := h.items[last]
	h.items[last] = zero // lets the garbage collector free the item
	h.items = h.items[:last]
	h.setIndex(item, notInHeap)
	if index < last {
		h.fix(index)
	}
	return item
}

// fix restores the heap order after the key of the item at index changed.
func (h *indexHeap[T]) fix(index int) {
	if !h.down(index) {
		h.up(index)
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

// down reports whether it moved the item.
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
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}
