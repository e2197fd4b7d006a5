package sardineknot

// RetryBudget bounds the retries of each service over all entry hosts.
// Implementations are safe for concurrent use.
type RetryBudget interface {
	// First counts the first try of a call.
	First(s ServiceName)
	// Retry reports whether a further try may be made, and counts it.
	Retry(s ServiceName) bool
}
