package indexheap_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/policy/indexheap"
)

// number is an element that is ordered by its value.
type number struct{ value, index int }

func (n *number) Before(other *number) bool { return n.value < other.value }
func (n *number) SetIndex(index int)        { n.index = index }

// TestIndex guards against an element whose index is not its position, which
// would make heap.Fix and heap.Remove work on another element.
func TestIndex(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	var h indexheap.Heap[*number]
	var l []*number
	for range 2000 {
		if r.IntN(3) > 0 || len(l) == 0 {
			n := &number{value: r.IntN(100)}
			l = append(l, n)
			heap.Push(&h, n)
		} else {
			i := r.IntN(len(l))
			is.True(heap.Remove(&h, l[i].index) == l[i])
			l = slices.Delete(l, i, i+1)
		}
		if len(l) > 0 {
			n := l[r.IntN(len(l))]
			n.value = r.IntN(100)
			heap.Fix(&h, n.index)
		}
		for i, n := range h {
			is.Equal(n.index, i)
		}
	}
	is.Equal(len(h), len(l))
	for v := 0; len(h) > 0; {
		n := heap.Pop(&h).(*number)
		is.True(n.value >= v) // smallest first
		v = n.value
	}
}
