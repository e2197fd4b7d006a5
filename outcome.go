package sardineknot

import "time"

// OutcomeKind classifies how a request ended for its caller.
type OutcomeKind string

// The kinds of outcomes.
const (
	// OutcomeGood means that the answer was delivered completely and within the
	// latency targets.
	OutcomeGood OutcomeKind = "Good"
	// OutcomeSlow means that the answer was delivered completely but missed a
	// latency target.
	OutcomeSlow OutcomeKind = "Slow"
	// OutcomeNotRun means that the request was refused and did not run.
	OutcomeNotRun OutcomeKind = "NotRun"
	// OutcomeFailed means that the answer broke off or that the outcome is
	// unknown.
	OutcomeFailed OutcomeKind = "Failed"
	// OutcomeAbandoned means that the caller gave up. Such a request does not
	// count against the objective.
	OutcomeAbandoned OutcomeKind = "Abandoned"
)

// Outcome describes how one request ended.
type Outcome struct {
	// Account and Work identify the client account and the class of work of the
	// request.
	Account ClientAccountName
	Work    WorkName
	// Kind classifies the outcome.
	Kind OutcomeKind
	// Objective is the fraction of requests that must have the outcome
	// OutcomeGood, in (0, 1).
	Objective float64
	// FirstToken is the time from arrival to the first token. It is zero if
	// there was no token.
	FirstToken time.Duration
	// PerToken is the mean time between tokens. It is zero for fewer than two
	// tokens.
	PerToken time.Duration
}

// OutcomeRecorder records the outcomes of requests. Implementations are safe
// for concurrent use.
type OutcomeRecorder interface {
	// Record records outcome at the time now.
	Record(now time.Time, outcome Outcome)
}

// BurnCount counts the requests in a time window.
type BurnCount struct {
	// Total counts the requests whose callers did not give up.
	Total int64
	// Bad counts those requests of Total whose outcome was not OutcomeGood.
	Bad int64
}

// BurnWindows holds the numbers of requests and of bad outcomes in two time
// windows, for one class of work of one client account.
type BurnWindows struct {
	Account ClientAccountName
	Work    WorkName
	// Objective is the fraction of requests that must have the outcome
	// OutcomeGood, in (0, 1).
	Objective float64
	// Fast counts the requests of the last FastBurnWindow, Slow those of the
	// last SlowBurnWindow.
	Fast BurnCount
	Slow BurnCount
}

// The lengths of the windows of the burn report. Source: Beyer et al., "The
// Site Reliability Workbook", chapter 5, multiwindow alerts.
const (
	FastBurnWindow = 5 * time.Minute
	SlowBurnWindow = time.Hour
)
