package planner

// loadHeap is a binary min-heap of servers by key, ties broken by server number.
// After the key of a server has changed, fix restores the order.
type loadHeap struct {
	key      func(server int) float64
	items    []int
	position []int // by server: its index in items, or -1
}

func newLoadHeap(servers int, key func(int) float64) *loadHeap {
	h := &loadHeap{key: key, position: make([]int, servers)}
	for i := range h.position {
		h.position[i] = -1
	}
	return h
}

func (h *loadHeap) len() int { return len(h.items) }

// min returns the server with the lowest key. The heap must not be empty.
func (h *loadHeap) min() int { return h.items[0] }

func (h *loadHeap) push(server int) {
	h.items = append(h.items, server)
	h.position[server] = len(h.items) - 1
	h.up(len(h.items) - 1)
}

// fix restores the order after the key of server has changed. It does nothing
// when the server is not in the heap.
func (h *loadHeap) fix(server int) {
	i := h.position[server]
	if i < 0 {
		return
	}
	h.up(i)
	h.down(h.position[server])
}

func (h *loadHeap) less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	ka, kb := h.key(a), h.key(b)
	if ka != kb {
		return ka < kb
	}
	return a < b
}

func (h *loadHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.position[h.items[i]] = i
	h.position[h.items[j]] = j
}

func (h *loadHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *loadHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// pop removes and returns the server with the lowest key. The heap must not be
// empty.
func (h *loadHeap) pop() int {
	first := h.items[0]
	h.remove(first)
	return first
}

// remove removes server, which must be in the heap.
func (h *loadHeap) remove(server int) {
	i := h.position[server]
	last := len(h.items) - 1
	h.swap(i, last)
	h.items = h.items[:last]
	h.position[server] = -1
	if i < last {
		h.fix(h.items[i])
	}
}
