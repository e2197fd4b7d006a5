// Package header parses and validates the header fields of callers' requests.
//
// X-Client-Account and X-Request-Id identify the request. X-Work names the
// class of work. X-Deadline is the time, in RFC 3339 format, after which the
// first token of a generation, or the answer of a plain service, is of no use
// to the caller. It defaults to the arrival time plus the contract's latency
// target for the first token. Last-Event-ID is the index of the last token that
// the caller has received.
package header

import (
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// maxOffset is the exclusive upper bound of Last-Event-ID.
const maxOffset = 1 << 30

var identifierPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+$`)

// Header holds the parsed header fields of a request.
type Header struct {
	// Key identifies the request.
	Key sardineknot.RequestKey
	// Contract is the contract of the client account.
	Contract sardineknot.Contract
	// Work is the class of work in Contract that the request is for.
	Work sardineknot.Work
	// Deadline is the time after which the first token of a generation, or the
	// answer of a plain service, is of no use to the caller. It is later than
	// the arrival time.
	Deadline time.Time
	// Offset is the index of the first token to deliver.
	Offset int
}

// Read parses the header fields of r, which arrived at now, and resolves the
// account and the work in configuration c. It fails with an InvalidError if a
// field is missing or malformed, and with an UnknownError if c does not contain
// the account or the work.
func Read(r *http.Request, c *sardineknot.Configuration, now time.Time) (Header, error) {
	k, err := readKey(r)
	if err != nil {
		return Header{}, err
	}
	t, err := c.Contract(k.Account)
	if err != nil {
		return Header{}, errors.WithStack(err)
	}
	w, err := t.FindWork(sardineknot.WorkName(truncate(r.Header.Get("X-Work"))))
	if err != nil {
		return Header{}, errors.WithStack(err)
	}
	d, err := readDeadline(r, w, now)
	if err != nil {
		return Header{}, err
	}
	o, err := readOffset(r)
	if err != nil {
		return Header{}, err
	}
	return Header{Key: k, Contract: t, Work: w, Deadline: d, Offset: o}, nil
}

// readKey returns the request key in the header fields X-Client-Account and
// X-Request-Id of r. It fails with an InvalidError unless both are valid
// identifiers.
func readKey(r *http.Request) (sardineknot.RequestKey, error) {
	a := r.Header.Get("X-Client-Account")
	i := r.Header.Get("X-Request-Id")
	err := checkIdentifier("X-Client-Account", a)
	if err == nil {
		err = checkIdentifier("X-Request-Id", i)
	}
	return sardineknot.RequestKey{
		Account: sardineknot.ClientAccountName(a),
		ID:      sardineknot.RequestID(i),
	}, err
}

// checkIdentifier returns an InvalidError unless value is a valid identifier.
// name is the header field that contains value.
func checkIdentifier(name, value string) error {
	if len(value) <= sardineknot.MaxRequestIDBytes && identifierPattern.MatchString(value) {
		return nil
	}
	return errors.WithStack(&sardineknot.InvalidError{
		What:     name,
		Got:      truncate(value),
		Expected: "1 to 128 letters, digits, '.', '_', ':' or '-'",
	})
}

// readDeadline returns the deadline of r. It defaults to now plus the latency
// target of work for the first token.
func readDeadline(r *http.Request, work sardineknot.Work, now time.Time) (time.Time, error) {
	v := r.Header.Get("X-Deadline")
	if v == "" {
		return now.Add(work.FirstToken), nil
	}
	t, err := time.Parse(time.RFC3339Nano, v)
	if err != nil || !t.After(now) {
		return t, errors.WithStack(&sardineknot.InvalidError{What: "X-Deadline", Got: truncate(v), Expected: "a future time in RFC 3339 format"})
	}
	return t, nil
}

// readOffset returns the index of the first token that the caller has not
// received.
func readOffset(r *http.Request) (int, error) {
	v := r.Header.Get("Last-Event-ID")
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < -1 || n >= maxOffset {
		return 0, errors.WithStack(&sardineknot.InvalidError{What: "Last-Event-ID", Got: truncate(v), Expected: "the index of a token"})
	}
	return n + 1, nil
}

// truncate limits the length of value, so that error messages stay short. A
// truncated name never matches a class of work, because operators cannot
// declare names of that length.
func truncate(value string) string {
	return value[:min(len(value), sardineknot.MaxRequestIDBytes)]
}
