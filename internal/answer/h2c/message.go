package h2c

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/buffer"
)

// outcome is the way in which an answer ended.
type outcome string

const (
	outcomeComplete    outcome = "Whole"
	outcomeNotRun      outcome = "NotRun"
	outcomeFailed      outcome = "Failed"
	outcomeInterrupted outcome = "Interrupted"
	outcomeDisplaced   outcome = "Displaced"
	outcomeMismatch    outcome = "Mismatch"
	outcomeInvalid     outcome = "Invalid"
	outcomeLost        outcome = "Lost"
	outcomeUnknown     outcome = "Unknown"
)

// message is one JSON object of a stream: a token, a keep-alive, or the end of
// the answer.
type message struct {
	Index     int    `json:",omitempty"`
	Text      string `json:",omitempty"`
	KeepAlive bool   `json:",omitempty"`
	// End is set only in the last message.
	End        outcome       `json:",omitempty"`
	Reason     string        `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
}

// endMessage returns the last message of an answer that ended with err.
func endMessage(err error) message {
	var n *sardineknot.NotRunError
	var f *sardineknot.RequestFailedError
	var i *sardineknot.InterruptedError
	var d *sardineknot.DeliveryTakenOverError
	var m *sardineknot.ContentMismatchError
	var v *sardineknot.InvalidError
	var l *sardineknot.AnswerLostError
	switch {
	case errors.Is(err, io.EOF):
		return message{End: outcomeComplete}
	case errors.As(err, &n):
		return message{End: outcomeNotRun, Reason: n.Reason, RetryAfter: n.RetryAfter}
	case errors.As(err, &f):
		return message{End: outcomeFailed, Reason: f.Reason, RetryAfter: f.RetryAfter}
	case errors.As(err, &i):
		return message{End: outcomeInterrupted, Reason: i.Reason}
	case errors.As(err, &d):
		return message{End: outcomeDisplaced}
	case errors.As(err, &m):
		return message{End: outcomeMismatch}
	case errors.As(err, &v):
		return message{End: outcomeInvalid, Reason: v.What}
	case errors.As(err, &l):
		return message{End: outcomeLost}
	default:
		return message{End: outcomeUnknown, Reason: err.Error()}
	}
}

// endError returns the error that the last message m stands for. k is the key
// of the request, and offset the index after the last token received.
func (m message) endError(k sardineknot.RequestKey, offset int) error {
	switch m.End {
	case outcomeComplete:
		return io.EOF
	case outcomeNotRun:
		return &sardineknot.NotRunError{Reason: m.Reason, RetryAfter: m.RetryAfter}
	case outcomeFailed:
		return &sardineknot.RequestFailedError{Reason: m.Reason, RetryAfter: m.RetryAfter}
	case outcomeInterrupted:
		return &sardineknot.InterruptedError{Offset: offset, Reason: m.Reason}
	case outcomeDisplaced:
		return &sardineknot.DeliveryTakenOverError{Key: k}
	case outcomeMismatch:
		return &sardineknot.ContentMismatchError{Key: k}
	case outcomeInvalid:
		return &sardineknot.InvalidError{What: m.Reason, Got: "an index after the end", Expected: "an index of the answer"}
	case outcomeLost:
		return &sardineknot.AnswerLostError{Key: k, Offset: offset}
	default:
		return errors.WithStack(&sardineknot.UnavailableError{Peer: "producer of " + k.String(), Cause: errors.New(m.Reason)})
	}
}

// sender writes the messages of one stream.
type sender struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

func (s *sender) send(m message) error {
	err := s.encoder.Encode(m)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(s.controller.Flush())
}

// waitToken returns the token of b at index n for delivery d. While it waits,
// it sends a keep-alive every keepAliveInterval.
func (s *sender) waitToken(ctx context.Context, b *buffer.Buffer, d, n int) (sardineknot.Token, error) {
	for {
		c, cancel := context.WithTimeout(ctx, keepAliveInterval)
		t, err := b.Next(c, d, n)
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return t, err
		}
		err = s.send(message{KeepAlive: true})
		if err != nil {
			return t, err
		}
	}
}
