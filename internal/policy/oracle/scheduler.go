// Package oracle is the upper bound that schedulers are compared with. It knows
// the exact length of every answer, the exact time of every prefill and which
// callers will disconnect, and expects a world without delays: transfers take
// no time, prefill results do not lapse, engine memory is pooled, and engines
// share their prefix caches.
//
// Jobs go in order of priority and deadline, or with Shortest in order of the
// engine time that they need. A prefill starts when the slot that it needs is
// free or will be free at its end. No slot is idle while a job waits that can
// still be on time. A job is refused once it is late for certain, and its
// caller comes back at the rate at which slots become free.
//
// Without Shortest the bound holds for schedulers that do not choose among jobs
// by their length. With Shortest it starves long jobs, which none should do.
package oracle

import (
	"container/heap"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// retryAfter is the shortest time that refused callers wait.
	retryAfter = 200 * time.Millisecond
	// maxReturn bounds the time that refused callers wait.
	maxReturn = 20 * time.Second
	// early is the time by which a prefill may end before its slot is free.
	early = 50 * time.Millisecond
	// recheck is the time after which waiting jobs are looked at again.
	recheck = 10 * time.Millisecond
)

// Scheduler is a sardineknot.Scheduler. Its fields are set before use.
type Scheduler struct {
	// Cost returns the exact time of a job's prefill.
	Cost func(sardineknot.Job) time.Duration
	// Cancelled reports whether the job's caller will disconnect.
	Cancelled func(sardineknot.Job) bool
	// Tokens returns the exact length of the job's answer.
	Tokens func(sardineknot.Job) int
	// Freeing returns the number of slots that become free within a time.
	Freeing func(time.Duration) int
	// Interval is the longest time between tokens.
	Interval time.Duration
	// Shortest orders jobs by their work.
	Shortest bool

	jobs    map[sardineknot.RequestKey]*job
	engines map[sardineknot.BackendServerName]*engine
	prefill []*engine
	decode  []*engine
	// waiting holds jobs before their prefill, and ready those after it in the
	// order in which they have become ready.
	waiting jobs
	ready   []*job
	// pieces is the engine memory in use, and memory all of it. Zero memory
	// means unlimited.
	pieces int
	memory int
	// committed counts the jobs that prefill or are ready.
	committed int
	// nextReturn is when the next refused caller may come back.
	nextReturn time.Time
	now        time.Time
	out        []sardineknot.Decision
}

type engine struct {
	name  sardineknot.BackendServerName
	slots int
	used  int
}

type job struct {
	sardineknot.Job
	// engine is where the job works, or nil.
	engine *engine
	pieces int
	// work orders jobs under Shortest.
	work float64
	// decoding tells that pieces are in use.
	decoding bool
}

var _ sardineknot.Scheduler = (*Scheduler)(nil)

// SetServers implements sardineknot.Scheduler.
func (s *Scheduler) SetServers(now time.Time, l []sardineknot.BackendServer, _ []sardineknot.Link) []sardineknot.Decision {
	s.now = now
	s.prefill, s.decode, s.memory = nil, nil, 0
	if s.engines == nil {
		s.engines = make(map[sardineknot.BackendServerName]*engine)
		s.jobs = make(map[sardineknot.RequestKey]*job)
	}
	for _, b := range l {
		e := s.engines[b.Name]
		if e == nil {
			e = &engine{name: b.Name, slots: b.Slots}
			s.engines[b.Name] = e
		}
		if b.Role == sardineknot.RolePrefill {
			e.slots = 1
			s.prefill = append(s.prefill, e)
			continue
		}
		s.decode = append(s.decode, e)
		s.memory += b.MemoryPieces
	}
	return s.settle()
}

// Submit implements sardineknot.Scheduler.
func (s *Scheduler) Submit(now time.Time, j sardineknot.Job) []sardineknot.Decision {
	s.now = now
	n := &job{Job: j}
	n.pieces = (j.PromptTokens + s.Tokens(j) + sardineknot.PieceTokens - 1) / sardineknot.PieceTokens
	if s.Shortest {
		n.work = s.Cost(j).Seconds()/float64(max(1, len(s.prefill))) + float64(s.Tokens(j))*s.Interval.Seconds()/s.slots()
	}
	s.jobs[j.Key] = n
	if s.Cancelled(j) {
		s.refuse(n)
		return s.take()
	}
	heap.Push(&s.waiting, n)
	return s.settle()
}

// Report implements sardineknot.Scheduler.
func (s *Scheduler) Report(now time.Time, e sardineknot.JobEvent) []sardineknot.Decision {
	s.now = now
	j := s.jobs[e.Key]
	if j == nil || e.Kind == sardineknot.JobDecodeStarted {
		return nil
	}
	s.leave(j)
	if e.Kind == sardineknot.JobPrefillDone {
		s.ready = append(s.ready, j)
	} else {
		delete(s.jobs, e.Key)
	}
	return s.settle()
}

// Observe implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) Observe(time.Time, sardineknot.LoadReport) {}

// Wake implements sardineknot.Scheduler.
func (s *Scheduler) Wake(now time.Time) []sardineknot.Decision {
	s.now = now
	s.dropLate()
	return s.settle()
}

// dropLate refuses the waiting jobs that are late for certain.
func (s *Scheduler) dropLate() {
	l := s.waiting[:0]
	for _, j := range s.waiting {
		if s.now.Add(s.Cost(j.Job) + early + s.Interval).After(j.Deadline) {
			s.refuse(j)
			continue
		}
		l = append(l, j)
	}
	s.waiting = l
	heap.Init(&s.waiting)
}

// NextWake implements sardineknot.Scheduler.
func (s *Scheduler) NextWake() time.Time {
	if len(s.waiting)+len(s.ready) == 0 {
		return time.Time{}
	}
	return s.now.Add(recheck)
}

func (s *Scheduler) settle() []sardineknot.Decision {
	for e := free(s.decode); e != nil && s.startDecode(e); e = free(s.decode) {
	}
	for e := free(s.prefill); e != nil && s.startPrefill(e); e = free(s.prefill) {
	}
	return s.take()
}

func (s *Scheduler) startPrefill(e *engine) bool {
	for len(s.waiting) > 0 {
		j := heap.Pop(&s.waiting).(*job)
		if s.jobs[j.Key] != j {
			continue
		}
		c := s.Cost(j.Job)
		if s.now.Add(c + early + s.Interval).After(j.Deadline) {
			s.refuse(j)
			continue
		}
		if s.committed >= s.free()+s.Freeing(c+early) {
			heap.Push(&s.waiting, j)
			return false
		}
		s.committed++
		s.start(j, e, sardineknot.ActionPrefill)
		return true
	}
	return false
}

func (s *Scheduler) startDecode(e *engine) bool {
	for len(s.ready) > 0 {
		j := s.ready[0]
		if s.jobs[j.Key] != j {
			s.ready = s.ready[1:]
			continue
		}
		if s.now.Add(s.Interval).After(j.Deadline) {
			s.ready = s.ready[1:]
			s.committed--
			s.refuse(j)
			continue
		}
		if s.memory > 0 && s.pieces+j.pieces > s.memory {
			return false
		}
		s.ready = s.ready[1:]
		j.decoding = true
		s.pieces += j.pieces
		s.committed--
		s.start(j, e, sardineknot.ActionDecode)
		return true
	}
	return false
}

func (s *Scheduler) start(j *job, e *engine, a sardineknot.Action) {
	j.engine = e
	e.used++
	s.out = append(s.out, sardineknot.Decision{Key: j.Key, Action: a, Server: e.name})
}

func (s *Scheduler) leave(j *job) {
	if j.engine != nil {
		j.engine.used--
		j.engine = nil
	}
	if j.decoding {
		j.decoding = false
		s.pieces -= j.pieces
	}
}

// slots returns the number of decode slots.
func (s *Scheduler) slots() float64 {
	var n int
	for _, e := range s.decode {
		n += e.slots
	}
	return float64(max(1, n))
}

// free returns the number of decode slots that are not in use.
func (s *Scheduler) free() int {
	var n int
	for _, e := range s.decode {
		n += max(0, e.slots-e.used)
	}
	return n
}

// comeBack returns when a refused caller may come back.
func (s *Scheduler) comeBack() time.Duration {
	t := s.now.Add(retryAfter)
	if s.nextReturn.After(t) {
		t = s.nextReturn
	}
	if l := s.now.Add(maxReturn); t.After(l) {
		t = l
	}
	s.nextReturn = t.Add(time.Second / time.Duration(1+s.Freeing(time.Second)))
	return t.Sub(s.now)
}

func (s *Scheduler) refuse(j *job) {
	delete(s.jobs, j.Key)
	s.out = append(s.out, sardineknot.Decision{
		Key: j.Key, Action: sardineknot.ActionRefuse, Reason: "late for certain", RetryAfter: s.comeBack(),
	})
}

func (s *Scheduler) take() []sardineknot.Decision {
	d := s.out
	s.out = nil
	return d
}

// free returns the engine with the most free slots, or nil.
func free(l []*engine) *engine {
	var b *engine
	for _, e := range l {
		if e.used < e.slots && (b == nil || e.slots-e.used > b.slots-b.used) {
			b = e
		}
	}
	return b
}

// jobs is a heap by work if known, by priority, then by deadline.
type jobs []*job

func (l jobs) Len() int      { return len(l) }
func (l jobs) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

func (l jobs) Less(i, j int) bool {
	if l[i].work != l[j].work {
		return l[i].work < l[j].work
	}
	if l[i].Priority != l[j].Priority {
		return l[i].Priority < l[j].Priority
	}
	return l[i].Deadline.Before(l[j].Deadline)
}

// Push implements heap.Interface.
func (l *jobs) Push(x any) { *l = append(*l, x.(*job)) }

// Pop implements heap.Interface.
func (l *jobs) Pop() any {
	n := len(*l) - 1
	x := (*l)[n]
	*l = (*l)[:n]
	return x
}
