package memory

import (
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/shares"
)

const (
	// eventTimeout is the time without any event after which a job on an engine
	// is dropped. The host that holds a job reports its progress several times
	// a second.
	eventTimeout = 2500 * time.Millisecond
	// expireInterval is the interval between searches for jobs that had no
	// event for eventTimeout.
	expireInterval = 250 * time.Millisecond
)

// Scheduler is a sardineknot.Scheduler and a sardineknot.JobAdopter. Use
// NewScheduler to create one.
type Scheduler struct {
	// jobs holds every job that has not ended.
	jobs map[sardineknot.RequestKey]*job
	// queue lists the waiting jobs. It is sorted by sortedQueue whenever jobs
	// are scheduled.
	queue []*job
	// prefill and decode are the engines that accept new work, in the order
	// given to SetServers.
	prefill []*engine
	decode  []*engine
	// engines also contains removed engines that still run jobs.
	engines map[sardineknot.BackendServerName]*engine

	// listed is set once servers were given to SetServers. Engines of the first list
	// probably ran before this scheduler, so that their jobs are not limited: callers
	// would otherwise be refused after each change of the owner.
	listed  bool
	lengths lengthEstimator
	// lastMaxTokens is the MaxTokens of the job submitted last.
	lastMaxTokens int
	// prefillPerToken is the prefill time per prompt token, in seconds.
	prefillPerToken ewma
	// refusals spaces out the retries of refused callers.
	refusals refusals
	// shares divides the engines between client accounts.
	shares shares.Ledger
	// typicalRate is the token rate of most decode engines at the last call of
	// schedule, or zero if none was observed. rates is a buffer for it.
	typicalRate float64
	rates       []float64
	// speeds holds the lasting speeds of the servers, and typical their medians.
	speeds  map[sardineknot.BackendServerName]*speeds
	typical typicalSpeeds
	// typicalAt is the time at which typical was computed.
	typicalAt time.Time
	// demand is what arriving jobs require of the engines.
	demand demand
	// ended records recently ended jobs, which load reports may still list.
	ended endedCalls
	// lastExpiry is the time of the last search for jobs past eventTimeout.
	lastExpiry time.Time
	// decisions collects the decisions of the current call.
	decisions []sardineknot.Decision
}

var (
	_ sardineknot.Scheduler      = (*Scheduler)(nil)
	_ sardineknot.JobAdopter     = (*Scheduler)(nil)
	_ sardineknot.DemandObserver = (*Scheduler)(nil)
)

// NewScheduler returns a scheduler without servers.
func NewScheduler() *Scheduler {
	return &Scheduler{
		jobs:            make(map[sardineknot.RequestKey]*job),
		engines:         make(map[sardineknot.BackendServerName]*engine),
		speeds:          make(map[sardineknot.BackendServerName]*speeds),
		prefillPerToken: ewma{value: initialPrefillPerToken.Seconds()},
	}
}

// SetServers implements sardineknot.Scheduler.
func (s *Scheduler) SetServers(now time.Time, servers []sardineknot.BackendServer, _ []sardineknot.Link) []sardineknot.Decision {
	s.prefill, s.decode = nil, nil
	for _, e := range s.engines {
		e.removed = true
	}
	for _, b := range servers {
		e := s.engine(b)
		switch b.Role {
		case sardineknot.RolePrefill:
			s.prefill = append(s.prefill, e)
		case sardineknot.RoleDecode:
			s.decode = append(s.decode, e)
		}
	}
	for n, e := range s.engines {
		if e.removed && e.idle() {
			delete(s.engines, n)
		}
	}
	s.listed = s.listed || len(servers) > 0
	s.keepSpeeds(now, servers)
	s.schedule(now)
	return s.takeDecisions()
}

// engine returns the engine of a backend server. A server that has restarted
// or changed its role gets a new engine without state.
func (s *Scheduler) engine(backend sardineknot.BackendServer) *engine {
	e := s.engines[backend.Name]
	if e == nil || e.server.Born != backend.Born || e.server.Role != backend.Role {
		e = &engine{pace: newPace(s.speedsOf(backend.Name))}
		if s.listed {
			e.ramp.Restart(firstJobs, fullRamp)
		}
		s.engines[backend.Name] = e
	}
	e.server, e.removed = backend, false
	return e
}

// Submit implements sardineknot.Scheduler.
func (s *Scheduler) Submit(now time.Time, spec sardineknot.Job) []sardineknot.Decision {
	if s.jobs[spec.Key] != nil {
		return nil
	}
	n := s.newJob(now, spec)
	s.observeDemand(now, n)
	s.lastMaxTokens = spec.MaxTokens
	s.jobs[spec.Key] = n
	s.queue = append(s.queue, n)
	s.schedule(now)
	return s.takeDecisions()
}

// Report implements sardineknot.Scheduler.
func (s *Scheduler) Report(now time.Time, event sardineknot.JobEvent) []sardineknot.Decision {
	j := s.jobs[event.Key]
	if j == nil {
		return nil
	}
	j.lastEventAt = now
	switch event.Kind {
	case sardineknot.JobPrefillDone:
		s.endPrefill(now, j)
	case sardineknot.JobDecodeStarted, sardineknot.JobProgress:
		if j.decode == nil {
			return nil
		}
		// The first event makes room on an engine that is limited.
		p := j.prefill != nil || j.tokensReportedAt.IsZero() && j.decode.ramp.Limited()
		s.endPrefill(now, j)
		s.recordEngineSuccess(now, j)
		j.recordProgress(now, event.Tokens)
		if !p {
			// Progress makes no room, and is reported several times a second
			// for each answer. Waiting jobs are rechecked by Wake.
			return nil
		}
	case sardineknot.JobCacheLost:
		s.handleCacheLost(now, j, event.Server)
	case sardineknot.JobFinished:
		s.handleFinished(now, j, event.Tokens)
	case sardineknot.JobFailed:
		s.recordFailure(now, j, event)
	case sardineknot.JobCancelled:
		s.recordCancelled(now, j, event)
		s.remove(j)
	}
	s.schedule(now)
	return s.takeDecisions()
}

// Adopt implements sardineknot.JobAdopter.
func (s *Scheduler) Adopt(now time.Time, running sardineknot.RunningJob) []sardineknot.Decision {
	if s.jobs[running.Job.Key] != nil {
		return nil
	}
	d := s.engines[running.Grant.DecodeEngine]
	if d == nil {
		return nil
	}
	j := s.newJob(now, running.Job)
	s.jobs[j.Key] = j
	j.startedAt = now
	j.decode = d
	d.decodes = append(d.decodes, j)
	d.invalidateSpans()
	if running.Tokens > 0 {
		j.recordProgress(now, running.Tokens)
	}
	return nil
}

// Wake implements sardineknot.Scheduler.
func (s *Scheduler) Wake(now time.Time) []sardineknot.Decision {
	s.schedule(now)
	return s.takeDecisions()
}

// NextWake implements sardineknot.Scheduler.
func (s *Scheduler) NextWake() time.Time {
	var t time.Time
	for _, j := range s.queue {
		if t.IsZero() || j.recheckAt.Before(t) {
			t = j.recheckAt
		}
	}
	return t
}

// schedule starts every queued job that fits and refuses those that can no
// longer start in time.
func (s *Scheduler) schedule(now time.Time) {
	s.expire(now)
	if len(s.queue) == 0 {
		return
	}
	s.updateTypical(now)
	for _, j := range s.queue {
		j.servable = s.limitJob(j)
	}
	l := s.sortedQueue(now)
	s.queue = s.queue[:0]
	var m misfits
	for _, j := range l {
		switch {
		case !j.servable:
			s.refuse(now, j, "no engine has the software version that began the answer")
		case s.place(now, j, &m):
		case s.pastLatestStart(now, j):
			s.refuse(now, j, "no engine has room in time")
		default:
			j.recheckAt = now.Add(recheckInterval)
			s.queue = append(s.queue, j)
		}
	}
	clear(l[len(s.queue):])
}

// expire drops jobs on decode engines that had no event for eventTimeout. The
// hosts that hold them have failed, or have reported the end to another owner
// of the shard.
func (s *Scheduler) expire(now time.Time) {
	if now.Sub(s.lastExpiry) < expireInterval {
		return
	}
	s.lastExpiry = now
	for _, j := range s.jobs {
		if j.decode != nil && now.Sub(j.lastEventAt) > eventTimeout {
			s.remove(j)
		}
	}
}

func (s *Scheduler) takeDecisions() []sardineknot.Decision {
	d := s.decisions
	s.decisions = nil
	return d
}
