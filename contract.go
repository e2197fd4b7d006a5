package sardineknot

import "time"

// ClientAccountName identifies a client account.
type ClientAccountName string

// WorkName identifies a kind of work within a contract.
type WorkName string

// WorkKind tells which path serves a kind of work.
type WorkKind string

// The kinds of work.
const (
	// WorkGeneration is served by prefill and decode engines.
	WorkGeneration WorkKind = "Generation"
	// WorkService is served by a plain service.
	WorkService WorkKind = "Service"
)

// Contract is the compiled agreement with one client account.
type Contract struct {
	// Account is unique within a Configuration.
	Account ClientAccountName
	// RequestsPerSecond is the sustained limit over all entry hosts. Zero
	// means unlimited.
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once under
	// RequestsPerSecond. It is positive if RequestsPerSecond is.
	Burst int
	// Work holds one entry for each kind of work, ordered by name.
	Work []Work
}

// Work is one kind of work under a contract.
type Work struct {
	// Name is unique within a Contract.
	Name WorkName
	// Kind selects the path.
	Kind WorkKind
	// Model and Version are set if and only if Kind is WorkGeneration.
	Model   string
	Version string
	// Service is set if and only if Kind is WorkService.
	Service string
	// Unrepeatable reports that a request may run at most once.
	Unrepeatable bool
	// FirstToken is the latency target of the first token. For a service call
	// it is the target of the whole answer.
	FirstToken time.Duration
	// PerToken is the latency target between tokens. Zero for service calls.
	PerToken time.Duration
	// Priority orders work within a pool. Smaller values go first, as in the
	// scheduling policy of vLLM.
	Priority int
	// MaxTokens bounds the length of an answer. Zero for service calls.
	MaxTokens int
	// Objective is the share of requests that must meet the targets, in
	// (0, 1). The burn report measures against it.
	Objective float64
}

// FindWork returns the work named n, or an UnknownError.
func (c Contract) FindWork(n WorkName) (Work, error) {
	for _, w := range c.Work {
		if w.Name == n {
			return w, nil
		}
	}
	return Work{}, &UnknownError{What: "Work", Name: string(n)}
}
