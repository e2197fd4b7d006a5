package fairness

import (
	"time"

	"sardineknot.example/sardineknot"
)

// class holds the jobs of one priority.
type class struct {
	priority int
	// lanes has one entry for each account that has waiting jobs.
	lanes map[sardineknot.ClientAccountName]*lane
	order lanes
}

// lane holds the waiting jobs of one account in one class.
type lane struct {
	class   *class
	account sardineknot.ClientAccountName
	// held is the number of jobs in service.
	held int
	// tag is the virtual time at which the account is due.
	tag   float64
	items items
	// index is the position in the class's order.
	index int
}

type item struct {
	key      sardineknot.RequestKey
	deadline time.Time
	sequence int
	lane     *lane
	// index is the position in the lane's items.
	index int
}

// ahead returns the number of jobs that go before a new job of account a that
// has held jobs in service.
func (c *class) ahead(a sardineknot.ClientAccountName, held int) int {
	o := 0
	l := c.lanes[a]
	if l != nil {
		o = len(l.items)
	}
	n := o
	for _, l := range c.order {
		if l.account != a {
			n += min(len(l.items), max(0, held+o+1-l.held))
		}
	}
	return n
}

// lanes is a heap by jobs in service, by past service, then by first deadline.
type lanes []*lane

func (l lanes) Len() int { return len(l) }

func (l lanes) Less(i, j int) bool {
	if l[i].held != l[j].held {
		return l[i].held < l[j].held
	}
	if l[i].tag != l[j].tag {
		return l[i].tag < l[j].tag
	}
	return l[i].items[0].before(l[j].items[0])
}

func (l lanes) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index = i
	l[j].index = j
}

// Push implements heap.Interface.
func (l *lanes) Push(x any) {
	n := x.(*lane)
	n.index = len(*l)
	*l = append(*l, n)
}

// Pop implements heap.Interface.
func (l *lanes) Pop() any {
	n := len(*l) - 1
	x := (*l)[n]
	(*l)[n] = nil
	*l = (*l)[:n]
	return x
}

// items is a heap by deadline, then by order of arrival.
type items []*item

func (i *item) before(j *item) bool {
	if !i.deadline.Equal(j.deadline) {
		return i.deadline.Before(j.deadline)
	}
	return i.sequence < j.sequence
}

func (l items) Len() int { return len(l) }

func (l items) Less(i, j int) bool { return l[i].before(l[j]) }

func (l items) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index = i
	l[j].index = j
}

// Push implements heap.Interface.
func (l *items) Push(x any) {
	n := x.(*item)
	n.index = len(*l)
	*l = append(*l, n)
}

// Pop implements heap.Interface.
func (l *items) Pop() any {
	n := len(*l) - 1
	x := (*l)[n]
	(*l)[n] = nil
	*l = (*l)[:n]
	return x
}
