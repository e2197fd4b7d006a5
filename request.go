package sardineknot

import "time"

// RequestID identifies a request of one client account. A caller that requests
// the same answer again uses the same identifier.
type RequestID string

// MaxRequestIDBytes is the maximum length of a RequestID, in bytes.
const MaxRequestIDBytes = 128

// RequestKey identifies a request among those of all client accounts.
type RequestKey struct {
	// Account is the client account of the caller.
	Account ClientAccountName
	// ID is unique within Account.
	ID RequestID
}

// String returns the account and the identifier, separated by a slash.
func (k RequestKey) String() string {
	return string(k.Account) + "/" + string(k.ID)
}

// Request is a caller's request for a generation.
type Request struct {
	// Key identifies the request.
	Key RequestKey
	// Work is the class of work under the caller's contract.
	Work Work
	// Prompt is the text to continue. It is not empty.
	Prompt string
	// MaxTokens is the maximum length of the answer, in tokens. It is positive
	// and at most Work.MaxTokens.
	MaxTokens int
	// Deadline is the time after which the first token is of no use to the
	// caller.
	Deadline time.Time
}

// Token is one generated token of an answer.
type Token struct {
	// Index is the position of the token in the answer. Indexes start at zero
	// and have no gaps.
	Index int
	// Text is the token's text.
	Text string
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	// Key identifies the request.
	Key RequestKey
	// Work is the class of work under the caller's contract.
	Work Work
	// Body is the caller's request body, which is forwarded unchanged.
	Body []byte
	// ContentType is the media type of Body.
	ContentType string
	// Deadline is the time after which the answer is of no use to the caller.
	Deadline time.Time
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	// Status is the HTTP status code that the service returned.
	Status int
	// ContentType is the media type of Body.
	ContentType string
	// Body is the response body.
	Body []byte
}
