// Package indexheap implements a heap whose elements know their position, so
// that container/heap can move or remove an element without a search for it.
package indexheap

// element is the constraint on the elements of a Heap.
type element[E any] interface {
	// Before reports whether the element precedes other in the order of the
	// heap.
	Before(other E) bool
	// SetIndex records the position of the element in the heap. It is called
	// whenever the position changes.
	SetIndex(index int)
}

// Heap is a min-heap, to be used with the functions of container/heap. Element
// zero precedes all others. The index of an element that was removed is
// meaningless. The zero value is an empty heap.
type Heap[E element[E]] []E

// Len implements heap.Interface.
func (h Heap[E]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h Heap[E]) Less(i, j int) bool { return h[i].Before(h[j]) }

// Swap implements heap.Interface.
func (h Heap[E]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].SetIndex(i)
	h[j].SetIndex(j)
}

// Push implements heap.Interface.
func (h *Heap[E]) Push(x any) {
	e := x.(E)
	e.SetIndex(len(*h))
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *Heap[E]) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	var z E
	(*h)[n] = z
	*h = (*h)[:n]
	return x
}
