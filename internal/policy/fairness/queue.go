// Package fairness orders waiting jobs by priority. Within a priority it
// prefers the account with the fewest running jobs, then the account that has
// recently been served least (start-time fair queueing), then the earliest
// deadline.
package fairness

import (
	"container/heap"
	"maps"
	"sort"
	"time"

	"sardineknot.example/sardineknot"
)

// maxStartTags is the largest number of accounts whose past service is
// recorded.
const maxStartTags = 8192

// Queue holds waiting jobs. Each operation takes logarithmic time in the number
// of accounts and jobs. It is not safe for concurrent use.
type Queue struct {
	// classes is sorted by priority. Empty classes are kept.
	classes []*class
	items   map[sardineknot.RequestKey]*item
	// running counts the running jobs of each account. It has no zero entries.
	running map[sardineknot.ClientAccountName]int
	// startTags holds the virtual times at which accounts are due again.
	// Entries that do not exceed virtualTime have no effect. It has at most
	// maxStartTags entries.
	startTags   map[sardineknot.ClientAccountName]float64
	virtualTime float64
	// lastSequence is the sequence number of the newest item.
	lastSequence int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		items:     make(map[sardineknot.RequestKey]*item),
		running:   make(map[sardineknot.ClientAccountName]int),
		startTags: make(map[sardineknot.ClientAccountName]float64),
	}
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return len(q.items) }

// Push adds job. It has no effect if job is already waiting.
func (q *Queue) Push(job sardineknot.RequestKey, priority int, deadline time.Time) {
	if q.items[job] != nil {
		return
	}
	c := q.class(priority)
	a := c.accounts[job.Account]
	if a == nil {
		a = &accountQueue{class: c, account: job.Account, running: q.running[job.Account], startTag: max(q.virtualTime, q.startTags[job.Account])}
		c.accounts[job.Account] = a
	}
	q.lastSequence++
	i := &item{key: job, deadline: deadline, sequence: q.lastSequence, queue: a}
	q.items[job] = i
	heap.Push(&a.items, i)
	if len(a.items) == 1 {
		heap.Push(&c.accountOrder, a)
	} else {
		heap.Fix(&c.accountOrder, a.index)
	}
}

// Peek returns the next job without removing it. ok is false if the queue is
// empty.
func (q *Queue) Peek() (job sardineknot.RequestKey, ok bool) {
	for _, c := range q.classes {
		if len(c.accountOrder) > 0 {
			return c.accountOrder[0].items[0].key, true
		}
	}
	return job, false
}

// Remove removes job. It has no effect if job is not waiting.
func (q *Queue) Remove(job sardineknot.RequestKey) {
	i := q.items[job]
	if i == nil {
		return
	}
	delete(q.items, job)
	a := i.queue
	heap.Remove(&a.items, i.index)
	if len(a.items) > 0 {
		heap.Fix(&a.class.accountOrder, a.index)
		return
	}
	heap.Remove(&a.class.accountOrder, a.index)
	delete(a.class.accounts, job.Account)
}

// AddRunning adds count, which may be negative, to the number of running jobs
// of account.
func (q *Queue) AddRunning(account sardineknot.ClientAccountName, count int) {
	h := max(0, q.running[account]+count)
	q.running[account] = h
	if h == 0 {
		delete(q.running, account)
	}
	if count > 0 {
		q.recordStart(account)
	}
	for _, c := range q.classes {
		a := c.accounts[account]
		if a != nil {
			a.running = h
			a.startTag = max(a.startTag, q.startTags[account])
			heap.Fix(&c.accountOrder, a.index)
		}
	}
}

// recordStart advances the virtual time and the start tag of account when one
// of its jobs starts.
func (q *Queue) recordStart(account sardineknot.ClientAccountName) {
	if len(q.startTags) >= maxStartTags {
		maps.DeleteFunc(q.startTags, func(_ sardineknot.ClientAccountName, t float64) bool { return t <= q.virtualTime })
	}
	q.virtualTime = max(q.virtualTime, q.startTags[account])
	if len(q.startTags) < maxStartTags {
		q.startTags[account] = q.virtualTime + 1
	}
}

// Ahead estimates the number of waiting jobs that precede a new job of account.
// Accounts with equally many running jobs of the same priority are assumed to
// alternate.
func (q *Queue) Ahead(account sardineknot.ClientAccountName, priority int) int {
	var n int
	for _, c := range q.classes {
		if c.priority > priority {
			break
		}
		if c.priority < priority {
			for _, a := range c.accountOrder {
				n += len(a.items)
			}
			continue
		}
		n += c.ahead(account, q.running[account])
	}
	return n
}

func (q *Queue) class(priority int) *class {
	i := sort.Search(len(q.classes), func(i int) bool { return q.classes[i].priority >= priority })
	if i < len(q.classes) && q.classes[i].priority == priority {
		return q.classes[i]
	}
	c := &class{priority: priority, accounts: make(map[sardineknot.ClientAccountName]*accountQueue)}
	q.classes = append(q.classes, nil)
	copy(q.classes[i+1:], q.classes[i:])
	q.classes[i] = c
	return c
}
