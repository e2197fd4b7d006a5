// Package header reads what callers say in the headers of a request.
//
// X-Client-Account and X-Request-Id identify the request. X-Work names the
// kind of work. X-Deadline is the time, in the form of RFC 3339, after which
// the first token or the answer is useless; without it the contract's latency
// target counts from the arrival.
package header

import (
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// maxOffset bounds the index of a token.
const maxOffset = 1 << 30

var identifier = regexp.MustCompile(`^[A-Za-z0-9._:-]+$`)

// Header is what a caller's headers say.
type Header struct {
	// Key identifies the request.
	Key sardineknot.RequestKey
	// Contract is the contract of the client account.
	Contract sardineknot.Contract
	// Work is the kind of work.
	Work sardineknot.Work
	// Deadline is later than the arrival.
	Deadline time.Time
	// Offset is the index of the first token to deliver.
	Offset int
}

// Read returns what r says under configuration c at the time now. It fails
// with an InvalidError or an UnknownError.
func Read(r *http.Request, c *sardineknot.Configuration, now time.Time) (Header, error) {
	k, err := key(r)
	if err != nil {
		return Header{}, err
	}
	t, err := c.Contract(k.Account)
	if err != nil {
		return Header{}, errors.WithStack(err)
	}
	w, err := t.FindWork(sardineknot.WorkName(shorten(r.Header.Get("X-Work"))))
	if err != nil {
		return Header{}, errors.WithStack(err)
	}
	d, err := deadline(r, w, now)
	if err != nil {
		return Header{}, err
	}
	o, err := offset(r)
	if err != nil {
		return Header{}, err
	}
	return Header{Key: k, Contract: t, Work: w, Deadline: d, Offset: o}, nil
}

func key(r *http.Request) (sardineknot.RequestKey, error) {
	a := r.Header.Get("X-Client-Account")
	i := r.Header.Get("X-Request-Id")
	err := check("X-Client-Account", a)
	if err == nil {
		err = check("X-Request-Id", i)
	}
	return sardineknot.RequestKey{
		Account: sardineknot.ClientAccountName(a),
		ID:      sardineknot.RequestID(i),
	}, err
}

func check(name, v string) error {
	if len(v) <= sardineknot.MaxRequestIDBytes && identifier.MatchString(v) {
		return nil
	}
	return errors.WithStack(&sardineknot.InvalidError{
		What:     name,
		Got:      shorten(v),
		Expected: "1 to 128 letters, digits, '.', '_', ':' or '-'",
	})
}

func deadline(r *http.Request, w sardineknot.Work, now time.Time) (time.Time, error) {
	v := r.Header.Get("X-Deadline")
	if v == "" {
		return now.Add(w.FirstToken), nil
	}
	t, err := time.Parse(time.RFC3339Nano, v)
	if err != nil || !t.After(now) {
		return t, errors.WithStack(&sardineknot.InvalidError{What: "X-Deadline", Got: shorten(v), Expected: "a time to come in the form of RFC 3339"})
	}
	return t, nil
}

// offset returns the index after the last event that the caller has.
func offset(r *http.Request) (int, error) {
	v := r.Header.Get("Last-Event-ID")
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < -1 || n >= maxOffset {
		return 0, errors.WithStack(&sardineknot.InvalidError{What: "Last-Event-ID", Got: shorten(v), Expected: "the index of a token"})
	}
	return n + 1, nil
}

// shorten returns v as it is told to callers. A name that is cut is unknown as
// well: operators cannot declare names of that length.
func shorten(v string) string {
	return v[:min(len(v), sardineknot.MaxRequestIDBytes)]
}
