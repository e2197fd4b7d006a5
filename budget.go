package sardineknot

// RetryBudget limits the retries of each service across all entry hosts.
// Implementations are safe for concurrent use.
type RetryBudget interface {
	// RecordCall records the first attempt of a call to service.
	RecordCall(service ServiceName)
	// AllowRetry reports whether a call to service may be retried. If so, it
	// charges the retry to the budget.
	AllowRetry(service ServiceName) bool
}
