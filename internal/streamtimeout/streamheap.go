package streamtimeout

// streamHeap is a min-heap (container/heap) of streams, ordered by the times at which they have to end.
type streamHeap []*Stream

// Len implements heap.Interface.
func (h streamHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h streamHeap) Less(i, j int) bool { return h[i].due < h[j].due }

// Swap implements heap.Interface.
func (h streamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *streamHeap) Push(x any) {
	s := x.(*Stream)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *streamHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	s.heapIndex = -1
	return s
}
