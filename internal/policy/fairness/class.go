package fairness

import (
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/indexheap"
)

// class holds the waiting jobs of one priority.
type class struct {
	priority int
	// accounts has one entry for each account with waiting jobs.
	accounts     map[sardineknot.ClientAccountName]*accountQueue
	accountOrder indexheap.Heap[*accountQueue]
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
	items    indexheap.Heap[*item]
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

// Before reports whether a precedes b in class.accountOrder: it has fewer
// running jobs, then the smaller start tag, then the earlier first deadline of
// its waiting jobs.
func (a *accountQueue) Before(b *accountQueue) bool {
	if a.running != b.running {
		return a.running < b.running
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.items[0].Before(b.items[0])
}

// SetIndex records the position of a in class.accountOrder.
func (a *accountQueue) SetIndex(index int) { a.index = index }

// Before reports whether i precedes j in the queue of their account: it has the
// earlier deadline, or the same one and arrived earlier.
func (i *item) Before(j *item) bool {
	if !i.deadline.Equal(j.deadline) {
		return i.deadline.Before(j.deadline)
	}
	return i.sequence < j.sequence
}

// SetIndex records the position of i in queue.items.
func (i *item) SetIndex(index int) { i.index = index }
