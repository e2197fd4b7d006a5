package sardineknot

import "time"

// ClientAccountName identifies a client account.
type ClientAccountName string

// WorkName identifies a class of work within a contract.
type WorkName string

// WorkKind determines whether a class of work is served by engines or by a
// plain service.
type WorkKind string

// The kinds of work.
const (
	// WorkGeneration is served by prefill and decode engines.
	WorkGeneration WorkKind = "Generation"
	// WorkService is served by a plain service.
	WorkService WorkKind = "Service"
)

// Contract holds the limits and service levels agreed with one client account,
// in compiled form.
type Contract struct {
	// Account is unique within a Configuration.
	Account ClientAccountName
	// RequestsPerSecond is the sustained rate limit across all entry hosts.
	// Zero means unlimited.
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once under the rate
	// limit. It is positive if RequestsPerSecond is positive.
	Burst int
	// Work holds one entry for each class of work, ordered by name.
	Work []Work
}

// Work describes one class of work that a contract covers.
type Work struct {
	// Name is unique within a Contract.
	Name WorkName
	// Kind selects whether engines or a plain service serve the work.
	Kind WorkKind
	// Model and Version are set if and only if Kind is WorkGeneration.
	Model   string
	Version string
	// Service is set if and only if Kind is WorkService.
	Service string
	// Unrepeatable states that each request of this class must run at most once.
	Unrepeatable bool
	// FirstToken is the latency target for the first token. For a service call
	// it is the target for the complete answer.
	FirstToken time.Duration
	// PerToken is the latency target between tokens. It is zero for service
	// calls.
	PerToken time.Duration
	// Priority orders requests within a pool. Smaller values are served first,
	// as in the scheduling policy of vLLM.
	Priority int
	// MaxTokens is the maximum length of an answer, in tokens. It is zero for
	// service calls.
	MaxTokens int
	// Objective is the fraction of requests that must meet the latency targets,
	// in (0, 1). The burn report compares the measured fraction with it.
	Objective float64
}

// FindWork returns the class of work with the given name. It fails with an
// UnknownError if there is none.
func (c Contract) FindWork(name WorkName) (Work, error) {
	for _, w := range c.Work {
		if w.Name == name {
			return w, nil
		}
	}
	return Work{}, &UnknownError{What: "Work", Name: string(name)}
}
