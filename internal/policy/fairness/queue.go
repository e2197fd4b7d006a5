// Package fairness orders waiting jobs: by priority, then by the account that
// has the fewest jobs in service, among these by the account that was served
// least of late (start-time fair queueing), then by deadline.
package fairness

import (
	"container/heap"
	"maps"
	"sort"
	"time"

	"sardineknot.example/sardineknot"
)

// maxTags bounds the accounts whose service is remembered.
const maxTags = 8192

// Queue holds waiting jobs. Each operation takes logarithmic time in the
// number of accounts and jobs. It is not safe for concurrent use.
type Queue struct {
	// classes is ordered by priority. Classes are kept when they are empty.
	classes []*class
	items   map[sardineknot.RequestKey]*item
	// held counts the jobs in service of each account. It has no zero entries.
	held map[sardineknot.ClientAccountName]int
	// tags holds the virtual times at which accounts are due again. Entries up
	// to virtual have no meaning. It has at most maxTags entries.
	tags    map[sardineknot.ClientAccountName]float64
	virtual float64
	// last is the sequence number of the newest item.
	last int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		items: make(map[sardineknot.RequestKey]*item),
		held:  make(map[sardineknot.ClientAccountName]int),
		tags:  make(map[sardineknot.ClientAccountName]float64),
	}
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return len(q.items) }

// Push adds the job k. It has no effect if k waits already.
func (q *Queue) Push(k sardineknot.RequestKey, priority int, deadline time.Time) {
	if q.items[k] != nil {
		return
	}
	c := q.class(priority)
	l := c.lanes[k.Account]
	if l == nil {
		l = &lane{class: c, account: k.Account, held: q.held[k.Account], tag: max(q.virtual, q.tags[k.Account])}
		c.lanes[k.Account] = l
	}
	q.last++
	i := &item{key: k, deadline: deadline, sequence: q.last, lane: l}
	q.items[k] = i
	heap.Push(&l.items, i)
	if len(l.items) == 1 {
		heap.Push(&c.order, l)
	} else {
		heap.Fix(&c.order, l.index)
	}
}

// Peek returns the job that goes next.
func (q *Queue) Peek() (k sardineknot.RequestKey, ok bool) {
	for _, c := range q.classes {
		if len(c.order) > 0 {
			return c.order[0].items[0].key, true
		}
	}
	return k, false
}

// Remove takes k out. It has no effect if k does not wait.
func (q *Queue) Remove(k sardineknot.RequestKey) {
	i := q.items[k]
	if i == nil {
		return
	}
	delete(q.items, k)
	l := i.lane
	heap.Remove(&l.items, i.index)
	if len(l.items) > 0 {
		heap.Fix(&l.class.order, l.index)
		return
	}
	heap.Remove(&l.class.order, l.index)
	delete(l.class.lanes, k.Account)
}

// Hold adds n, which may be negative, to the jobs in service of account a.
func (q *Queue) Hold(a sardineknot.ClientAccountName, n int) {
	h := max(0, q.held[a]+n)
	q.held[a] = h
	if h == 0 {
		delete(q.held, a)
	}
	if n > 0 {
		q.serve(a)
	}
	for _, c := range q.classes {
		l := c.lanes[a]
		if l != nil {
			l.held = h
			l.tag = max(l.tag, q.tags[a])
			heap.Fix(&c.order, l.index)
		}
	}
}

// serve notes that a job of account a begins its service.
func (q *Queue) serve(a sardineknot.ClientAccountName) {
	if len(q.tags) >= maxTags {
		maps.DeleteFunc(q.tags, func(_ sardineknot.ClientAccountName, t float64) bool { return t <= q.virtual })
	}
	q.virtual = max(q.virtual, q.tags[a])
	if len(q.tags) < maxTags {
		q.tags[a] = q.virtual + 1
	}
}

// Ahead estimates how many waiting jobs go before a new job of account a. Jobs
// of the same class alternate between accounts once they hold equally many.
func (q *Queue) Ahead(a sardineknot.ClientAccountName, priority int) int {
	var n int
	for _, c := range q.classes {
		if c.priority > priority {
			break
		}
		if c.priority < priority {
			for _, l := range c.order {
				n += len(l.items)
			}
			continue
		}
		n += c.ahead(a, q.held[a])
	}
	return n
}

func (q *Queue) class(priority int) *class {
	i := sort.Search(len(q.classes), func(i int) bool { return q.classes[i].priority >= priority })
	if i < len(q.classes) && q.classes[i].priority == priority {
		return q.classes[i]
	}
	c := &class{priority: priority, lanes: make(map[sardineknot.ClientAccountName]*lane)}
	q.classes = append(q.classes, nil)
	copy(q.classes[i+1:], q.classes[i:])
	q.classes[i] = c
	return c
}
