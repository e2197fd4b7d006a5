// Package delivery measures the delivery of an answer to a caller and compares
// it with the latency targets of the contract.
package delivery

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// Delivery measures the latencies of one answer at the caller's connection and
// records the outcome. It is not safe for concurrent use.
type Delivery struct {
	clock    sardineknot.Clock
	recorder sardineknot.OutcomeRecorder
	account  sardineknot.ClientAccountName
	work     sardineknot.Work
	// start is the arrival time of the request.
	start time.Time
	// first and last are the times at which the first and the most recent token
	// were delivered. They are zero before the first token.
	first time.Time
	last  time.Time
	// tokens is the number of tokens delivered.
	tokens int
}

// NewDelivery returns a Delivery for a request that arrives at the current time
// of c. The request is for work w of account a. End records the outcome in r;
// if r is nil, the outcome is discarded.
func NewDelivery(c sardineknot.Clock, r sardineknot.OutcomeRecorder, a sardineknot.ClientAccountName, w sardineknot.Work) *Delivery {
	return &Delivery{clock: c, recorder: r, account: a, work: w, start: c.Now()}
}

// Token records the delivery of one token, or of a complete answer that is not
// a stream.
func (d *Delivery) Token() {
	d.last = d.clock.Now()
	if d.tokens == 0 {
		d.first = d.last
	}
	d.tokens++
}

// End records the outcome of a delivery that ended with err. The errors nil and
// io.EOF mean that the answer was delivered completely.
func (d *Delivery) End(err error) {
	if d.recorder == nil {
		return
	}
	o := sardineknot.Outcome{
		Account:    d.account,
		Work:       d.work.Name,
		Objective:  d.work.Objective,
		FirstToken: d.firstToken(),
		PerToken:   d.perToken(),
	}
	o.Kind = d.kind(err, o)
	d.recorder.Record(d.clock.Now(), o)
}

// kind returns the kind of outcome of a delivery that ended with err. The
// measured latencies are in outcome.
func (d *Delivery) kind(err error, outcome sardineknot.Outcome) sardineknot.OutcomeKind {
	var n *sardineknot.NotRunError
	var p *sardineknot.DeliveryTakenOverError
	switch {
	case errors.Is(err, context.Canceled), errors.As(err, &p):
		return sardineknot.OutcomeAbandoned
	case errors.As(err, &n):
		return sardineknot.OutcomeNotRun
	case err != nil && !errors.Is(err, io.EOF):
		return sardineknot.OutcomeFailed
	case outcome.FirstToken > d.work.FirstToken, d.work.PerToken > 0 && outcome.PerToken > d.work.PerToken:
		return sardineknot.OutcomeSlow
	default:
		return sardineknot.OutcomeGood
	}
}

// firstToken returns the time from arrival to the first token, or zero if there
// was no token.
func (d *Delivery) firstToken() time.Duration {
	if d.tokens == 0 {
		return 0
	}
	return d.first.Sub(d.start)
}

// perToken returns the mean time between tokens, or zero for fewer than two
// tokens.
func (d *Delivery) perToken() time.Duration {
	if d.tokens < 2 {
		return 0
	}
	return d.last.Sub(d.first) / time.Duration(d.tokens-1)
}
