package fairness

import (
	"time"

	"sardineknot.example/sardineknot"
)

// class holds the waiting jobs of one priority.
type class struct {
	priority int
	// accounts has one entry for each account with waiting jobs.
	accounts     map[sardineknot.ClientAccountName]*accountQueue
	accountOrder accountHeap
}

// accountQueue holds the waiting jobs of one account and priority.
type accountQueue struct {
	class   *class
	account sardineknot.ClientAccountName
	// running is the number of running jobs of the account.
	running int
	// startTag is the virtual time at which the account is next due for
	// service.
	startTag float64
	items    itemHeap
	// index is the position in class.accountOrder.
	index int
}

type item struct {
	key      sardineknot.RequestKey
	deadline time.Time
	sequence int
	queue    *accountQueue
	// index is the position in queue.items.
	index int
}

// ahead estimates how many waiting jobs of c are served before a new job of the
// named account. running is the number of running jobs of that account.
func (c *class) ahead(name sardineknot.ClientAccountName, running int) int {
	o := 0
	a := c.accounts[name]
	if a != nil {
		o = len(a.items)
	}
	n := o
	for _, a := range c.accountOrder {
		if a.account != name {
			n += min(len(a.items), max(0, running+o+1-a.running))
		}
	}
	return n
}

// accountHeap is a min-heap of accounts, ordered by the number of running jobs,
// then by start tag, then by the earliest deadline of the waiting jobs.
type accountHeap []*accountQueue

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].running != h[j].running {
		return h[i].running < h[j].running
	}
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].items[0].before(h[j].items[0])
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	n := x.(*accountQueue)
	n.index = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return x
}

// itemHeap is a min-heap of waiting jobs, ordered by deadline, then by arrival.
type itemHeap []*item

func (i *item) before(j *item) bool {
	if !i.deadline.Equal(j.deadline) {
		return i.deadline.Before(j.deadline)
	}
	return i.sequence < j.sequence
}

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	n := x.(*item)
	n.index = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return x
}
