package sardineknot

import (
	"context"
	"time"
)

// Job is a generation as the scheduler of a pool sees it.
type Job struct {
	// Key identifies one attempt of a request: its String is the EngineKey of
	// the attempt, so that a new attempt is a new job.
	Key RequestKey
	// Pool is the pool that serves the job.
	Pool PoolName
	// Work is the kind of work, for length estimates.
	Work WorkName
	// Zone is the availability zone of the entry host.
	Zone AvailabilityZone
	// PromptTokens is the estimated length of the prompt, in tokens.
	PromptTokens int
	// Prefixes are hashes of the prompt's leading pieces, shortest first.
	Prefixes []uint64
	// MaxTokens bounds the length of the answer.
	MaxTokens int
	// ExpectedTokens is the caller's estimate of the length of the answer.
	// Zero means that it gave none.
	ExpectedTokens int
	// Resumed tells that the caller has the beginning of the answer from an
	// earlier call, which broke off.
	Resumed bool
	// Kept is the prefill engine that read the prompt in an earlier try and
	// probably still has it. It is empty if there is none.
	Kept BackendServerName
	// Priority orders jobs. Smaller values go first.
	Priority int
	// Deadline is the time by which the first token is due.
	Deadline time.Time
	// Patience is the time at which the caller gives up. The zero time means
	// at Deadline.
	Patience time.Time
	// PerToken is the latency target between tokens.
	PerToken time.Duration
	// Owner and OwnerIncarnation tell which entry host holds the job.
	Owner            EntryHostID
	OwnerIncarnation Incarnation
}

// Action is what a scheduler decides about a job.
type Action int

// The actions of a scheduler.
const (
	// ActionPrefill starts the prefill on Decision.Server.
	ActionPrefill Action = iota + 1
	// ActionDecode starts the decode on Decision.Server. It follows the
	// prefill and may be decided in the same step.
	ActionDecode
	// ActionRefuse ends the job as not run.
	ActionRefuse
)

// Decision is one step of a job.
type Decision struct {
	// Key is the job that the decision is about.
	Key RequestKey
	// Action is what to do.
	Action Action
	// Server is the engine for ActionPrefill and ActionDecode.
	Server BackendServerName
	// Reason is set for ActionRefuse.
	Reason string
	// RetryAfter is set for ActionRefuse.
	RetryAfter time.Duration
}

// JobEventKind is what happened to a job.
type JobEventKind int

// The events of a job.
const (
	// JobPrefillDone follows the end of the prefill.
	JobPrefillDone JobEventKind = iota + 1
	// JobDecodeStarted follows the first token.
	JobDecodeStarted
	// JobFinished follows the last token.
	JobFinished
	// JobCancelled follows the caller's disconnect, at any step.
	JobCancelled
	// JobFailed follows the failure of the job's server, at any step.
	JobFailed
	// JobProgress tells how many tokens a running decode has generated.
	JobProgress
	// JobCacheLost tells that the result of the prefill on the server could not
	// be imported. The job goes on: the decode engine reads the prompt itself. The
	// server is empty if the result may have been imported before.
	JobCacheLost
)

// JobEvent is a report about a job.
type JobEvent struct {
	// Key is the job.
	Key RequestKey
	// Kind is what happened.
	Kind JobEventKind
	// Server is the engine concerned.
	Server BackendServerName
	// Tokens is the number of tokens generated so far.
	Tokens int
	// Unreachable tells with JobFailed that Server takes no connections.
	Unreachable bool
}

// Scheduler decides, for one shard of a pool, which job runs where and when.
//
// A Scheduler is not safe for concurrent use. It never reads a clock: every
// method takes the present time, which must not decrease.
type Scheduler interface {
	// SetServers replaces the servers that accept new work. Jobs on servers
	// that are gone go on.
	SetServers(now time.Time, s []BackendServer, l []Link) []Decision
	// Submit offers a job. A job that is known already is ignored.
	Submit(now time.Time, j Job) []Decision
	// Report takes an event of a job. Events of unknown jobs are ignored.
	Report(now time.Time, e JobEvent) []Decision
	// Observe takes a lagging load report.
	Observe(now time.Time, r LoadReport)
	// Wake decides what is due by now.
	Wake(now time.Time) []Decision
	// NextWake returns the time at which Wake is due, or the zero time.
	NextWake() time.Time
}

// RunningJob is a job that was granted engines before its shard moved to
// another owner.
type RunningJob struct {
	// Job is the job.
	Job Job
	// Grant holds the engines that it was granted. Decode is empty while it
	// waits for one.
	Grant Grant
	// Tokens is the number of tokens generated so far. Zero means that the
	// decode has not started.
	Tokens int
	// TakenOver tells that another entry host held the job before. It goes
	// before what that host says of the job.
	TakenOver bool
}

// Adopter is a Scheduler that can take over jobs that run already. A Scheduler
// that is not an Adopter counts nothing for them.
type Adopter interface {
	// Adopt counts r as running on its engines. A job that is known already is
	// ignored. It ends by a Report as any other.
	Adopt(now time.Time, r RunningJob) []Decision
}

// Grant is the answer to a job's request for engines.
type Grant struct {
	// Prefill is the engine to prefill on.
	Prefill BackendServerName
	// Decode is the engine to decode on. It is empty if it is chosen at the
	// end of the prefill.
	Decode BackendServerName
}

// SlotPool grants engines to jobs. Implementations reach the owner of the
// job's pool shard.
type SlotPool interface {
	// Acquire waits for a grant. It fails with a NotRunError if the job is
	// refused and with an UnavailableError if the owner cannot be reached.
	Acquire(ctx context.Context, j Job) (Grant, error)
	// PrefillDone reports the end of the prefill and waits for the engine to
	// decode on.
	PrefillDone(ctx context.Context, j Job) (BackendServerName, error)
	// Report passes an event on. It does not wait for the owner.
	Report(j Job, e JobEvent)
}
