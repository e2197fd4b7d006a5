// Package delivery measures one delivery of an answer to a caller against the
// latency targets of its contract.
package delivery

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// Delivery is one delivery. It is used by one goroutine.
type Delivery struct {
	clock    sardineknot.Clock
	recorder sardineknot.OutcomeRecorder
	account  sardineknot.ClientAccountName
	work     sardineknot.Work
	// start is the arrival of the request.
	start time.Time
	// first and last are the times of the first and the last token. They are
	// zero before.
	first time.Time
	last  time.Time
	// tokens counts the tokens delivered.
	tokens int
}

// NewDelivery starts to measure a request for work w of account a, which
// arrives now. A nil recorder discards the outcome.
func NewDelivery(c sardineknot.Clock, r sardineknot.OutcomeRecorder, a sardineknot.ClientAccountName, w sardineknot.Work) *Delivery {
	return &Delivery{clock: c, recorder: r, account: a, work: w, start: c.Now()}
}

// Token notes the delivery of one token, or of a whole answer that is not a
// stream.
func (d *Delivery) Token() {
	d.last = d.clock.Now()
	if d.tokens == 0 {
		d.first = d.last
	}
	d.tokens++
}

// End records the outcome of a delivery that ended with err. Nil and io.EOF
// mean that the answer is whole.
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

func (d *Delivery) kind(err error, o sardineknot.Outcome) sardineknot.OutcomeKind {
	var n *sardineknot.NotRunError
	var p *sardineknot.DeliveryTakenOverError
	switch {
	case errors.Is(err, context.Canceled), errors.As(err, &p):
		return sardineknot.OutcomeAbandoned
	case errors.As(err, &n):
		return sardineknot.OutcomeNotRun
	case err != nil && !errors.Is(err, io.EOF):
		return sardineknot.OutcomeFailed
	case o.FirstToken > d.work.FirstToken, d.work.PerToken > 0 && o.PerToken > d.work.PerToken:
		return sardineknot.OutcomeSlow
	default:
		return sardineknot.OutcomeGood
	}
}

func (d *Delivery) firstToken() time.Duration {
	if d.tokens == 0 {
		return 0
	}
	return d.first.Sub(d.start)
}

func (d *Delivery) perToken() time.Duration {
	if d.tokens < 2 {
		return 0
	}
	return d.last.Sub(d.first) / time.Duration(d.tokens-1)
}
