package sardineknot

import (
	"context"
	"time"
)

// Job describes one attempt of a generation to the scheduler of a pool.
type Job struct {
	// Key identifies the attempt: its string form is the identifier of the
	// attempt on engines, so that each attempt is a separate job.
	Key RequestKey
	// Pool is the pool that serves the job.
	Pool PoolName
	// Work is the class of work, which is used to estimate the length of the
	// answer.
	Work WorkName
	// Zone is the availability zone of the entry host.
	Zone AvailabilityZone
	// PromptTokens is the estimated length of the prompt, in tokens.
	PromptTokens int
	// PrefixHashes holds the hashes of leading parts of the prompt, shortest
	// first.
	PrefixHashes []uint64
	// MaxTokens is the maximum length of the answer, in tokens.
	MaxTokens int
	// ExpectedTokens is the caller's estimate of the length of the answer, in
	// tokens. Zero means that the caller gave no estimate.
	ExpectedTokens int
	// Resumed is true if the caller already has the beginning of the answer,
	// from an earlier call that broke off.
	Resumed bool
	// CachedOn is the prefill engine that computed the KV cache of the prompt
	// in an earlier attempt and probably still holds it. It is empty if no
	// engine is known to hold the cache.
	CachedOn BackendServerName
	// SoftwareVersion is the software version that the decode engine must have,
	// because an engine of this version began the answer. Empty means any.
	SoftwareVersion SoftwareVersion
	// Backoffs lists the engines that have asked Owner for no requests for some time, and
	// those whose software version is withheld. The job is not granted such an engine
	// before its backoff ends.
	Backoffs []ServerBackoff
	// Account is the client account of the caller. It is empty if the deployment has
	// no client accounts.
	Account ClientAccountName
	// Priority orders jobs. Smaller values are scheduled first. RoutePriority orders
	// jobs of the same Priority.
	Priority      int
	RoutePriority int
	// FirstTokenDeadline is the time at which the first token is due.
	FirstTokenDeadline time.Time
	// CallerDeadline is the time at which the caller stops waiting. If it is
	// zero, FirstTokenDeadline is used instead.
	CallerDeadline time.Time
	// PerToken is the latency target between tokens.
	PerToken time.Duration
	// Owner and OwnerIncarnation identify the entry host process that holds the
	// job. This process runs the job for the caller and reports the job's
	// events to the owner of the shard.
	Owner            EntryHostID
	OwnerIncarnation Incarnation
}

// ServerBackoff tells that a backend server wants no requests from an entry host
// before a point in time.
type ServerBackoff struct {
	// Server wants no requests.
	Server BackendServerName
	// Until is the end of the backoff.
	Until time.Time
}

// Action is the kind of a scheduling decision.
type Action int

// The actions that a scheduler can decide on.
const (
	// ActionPrefill starts the prefill on Decision.Server.
	ActionPrefill Action = iota + 1
	// ActionDecode starts the decode on Decision.Server. It follows the prefill
	// and may be decided in the same step.
	ActionDecode
	// ActionRefuse refuses the job, which does not run.
	ActionRefuse
)

// Decision is a scheduling decision about one job.
type Decision struct {
	// Key identifies the job.
	Key RequestKey
	// Action is what is to be done with the job.
	Action Action
	// Server is the engine for ActionPrefill and ActionDecode. It is not set
	// for ActionRefuse.
	Server BackendServerName
	// Reason is the reason for a refusal. It is set for ActionRefuse only.
	Reason string
	// RetryAfter is the time after which a retry is expected to succeed. It is
	// set for ActionRefuse only.
	RetryAfter time.Duration
}

// JobEventKind is the kind of a JobEvent.
type JobEventKind int

// The kinds of job events.
const (
	// JobPrefillDone reports the end of the prefill.
	JobPrefillDone JobEventKind = iota + 1
	// JobDecodeStarted reports the first token.
	JobDecodeStarted
	// JobFinished reports the last token.
	JobFinished
	// JobCancelled reports that the caller disconnected or that the job was
	// given up. It may occur at any stage.
	JobCancelled
	// JobFailed reports that the job failed on its server. It may occur at any
	// stage.
	JobFailed
	// JobProgress reports the number of tokens that a running decode has
	// generated.
	JobProgress
	// JobCacheLost reports that the decode engine could not import the KV cache
	// that the prefill computed on the server. The job continues: the decode
	// engine prefills the prompt itself. JobEvent.Server is empty if another
	// decode engine may already have imported the cache.
	JobCacheLost
)

// JobEvent reports a change in the state of a job.
type JobEvent struct {
	// Key identifies the job.
	Key RequestKey
	// Kind is what happened to the job.
	Kind JobEventKind
	// Server is the engine on which the event occurred. With JobCancelled, unless Leaving
	// is set, it is the engine from which the next part of the answer was awaited when the
	// caller disconnected, and empty if the job was cancelled for another reason.
	Server BackendServerName
	// Tokens is the number of tokens generated so far.
	Tokens int
	// Unreachable reports, with JobFailed, that Server does not accept
	// connections.
	Unreachable bool
	// Leaving reports, with JobCancelled, that the engines of the job were not
	// used because the process of Server that was born at Born, as in
	// BackendServer.Born, is leaving.
	Leaving bool
	Born    int64
}

// Scheduler decides which jobs of one shard of a pool run on which servers, and
// when.
//
// A Scheduler is not safe for concurrent use. It never reads a clock: every
// method that depends on the time takes the current time, which must not
// decrease between calls.
type Scheduler interface {
	// SetServers replaces the servers that accept new work, and the links
	// between zones. Jobs on servers that are no longer among them continue.
	SetServers(now time.Time, servers []BackendServer, links []Link) []Decision
	// Submit adds a job to the queue. A job that is already known is ignored.
	Submit(now time.Time, job Job) []Decision
	// Report processes an event of a job. Events of unknown jobs are ignored.
	Report(now time.Time, event JobEvent) []Decision
	// ObserveLoad processes a load report, which lags behind the actual load.
	ObserveLoad(now time.Time, report LoadReport)
	// Wake makes the decisions that have become due by the time now.
	Wake(now time.Time) []Decision
	// NextWake returns the time at which Wake must be called next, or the zero
	// time if no call is needed.
	NextWake() time.Time
}

// RunningJob is a job that was granted engines before its shard moved to
// another owner.
type RunningJob struct {
	// Job describes the job in the same way as for Scheduler.Submit.
	Job Job
	// Grant holds the engines that the job was granted. Grant.DecodeEngine is
	// empty while the job still waits for a decode engine.
	Grant Grant
	// Tokens is the number of tokens generated so far. Zero means that decoding
	// has not started.
	Tokens int
	// TakenOver is true if the announcing entry host took the job over from
	// another one. This announcement then takes precedence over announcements
	// of the job by the previous holder.
	TakenOver bool
}

// JobAdopter is implemented by schedulers that can take over jobs that are
// already running. A Scheduler that is not a JobAdopter does not account for
// such jobs.
type JobAdopter interface {
	// Adopt adds a job that already occupies the engines in job.Grant. A job
	// that is already known is ignored. An adopted job ends with a call of
	// Report, like any other job.
	Adopt(now time.Time, job RunningJob) []Decision
}

// EngineDemand describes what the jobs of a shard require of its engines.
type EngineDemand struct {
	// Observed is the time for which the demand was observed. Zero means that none
	// was.
	Observed time.Duration
	// Prefill and Decode are the numbers of engines of usual speed that would
	// prefill all prompts, and generate all answers, that arrive at the peak of the
	// last seconds, refused ones included.
	Prefill, Decode float64
	// Speeds holds the speed of each engine relative to the usual one. Engines that
	// are missing have the usual speed.
	Speeds map[BackendServerName]float64
}

// DemandObserver is implemented by schedulers that measure the demand for engines.
type DemandObserver interface {
	// Demand returns the demand as of now.
	Demand(now time.Time) EngineDemand
}

// Grant is the set of engines that a job was granted.
type Grant struct {
	// PrefillEngine is the engine that runs the prefill.
	PrefillEngine BackendServerName
	// DecodeEngine is the engine that runs the decode. It is empty if the
	// engine is selected only after the prefill.
	DecodeEngine BackendServerName
}

// SlotPool grants engines to jobs. Implementations communicate with the owner
// of the shard that schedules the job.
type SlotPool interface {
	// Acquire waits until the job is granted engines. It fails with a
	// NotRunError if the job is refused, and with an UnavailableError if the
	// owner of the shard cannot be reached.
	Acquire(ctx context.Context, job Job) (Grant, error)
	// PrefillDone reports the end of the prefill and waits for the engine that
	// runs the decode.
	PrefillDone(ctx context.Context, job Job) (BackendServerName, error)
	// Report sends an event of job to the owner of the shard. It does not wait
	// for an acknowledgement.
	Report(job Job, event JobEvent)
}
