package sardineknot

import "time"

// OutcomeKind tells how a request ended for its caller.
type OutcomeKind string

// The kinds of outcomes.
const (
	// OutcomeGood was delivered whole and within the latency targets.
	OutcomeGood OutcomeKind = "Good"
	// OutcomeSlow was delivered whole and missed a latency target.
	OutcomeSlow OutcomeKind = "Slow"
	// OutcomeNotRun was refused and did not run.
	OutcomeNotRun OutcomeKind = "NotRun"
	// OutcomeFailed broke off, or its outcome is unknown.
	OutcomeFailed OutcomeKind = "Failed"
	// OutcomeAbandoned was given up by its caller. It does not count against
	// the objective.
	OutcomeAbandoned OutcomeKind = "Abandoned"
)

// Outcome is the end of one request.
type Outcome struct {
	// Account and Work tell what the request was.
	Account ClientAccountName
	Work    WorkName
	// Kind is how it ended.
	Kind OutcomeKind
	// Objective is the share of requests that must be good, in (0, 1).
	Objective float64
	// FirstToken is the time from arrival to the first token. It is zero if
	// there was none.
	FirstToken time.Duration
	// PerToken is the mean time between tokens. It is zero for less than two.
	PerToken time.Duration
}

// OutcomeRecorder takes the outcomes of requests. Implementations are safe for
// concurrent use.
type OutcomeRecorder interface {
	// Record takes one outcome at the time now.
	Record(now time.Time, o Outcome)
}

// BurnCount is the number of requests in a window of time.
type BurnCount struct {
	// Total counts requests that were not abandoned.
	Total int64
	// Bad counts those of them that were not good.
	Bad int64
}

// BurnWindows holds the counts of one kind of work of one client account.
type BurnWindows struct {
	Account   ClientAccountName
	Work      WorkName
	Objective float64
	// Fast and Slow cover the last FastBurnWindow and SlowBurnWindow.
	Fast BurnCount
	Slow BurnCount
}

// The lengths of the windows of the burn report. Source: Beyer et al., "The
// Site Reliability Workbook", chapter 5, multiwindow alerts.
const (
	FastBurnWindow = 5 * time.Minute
	SlowBurnWindow = time.Hour
)
