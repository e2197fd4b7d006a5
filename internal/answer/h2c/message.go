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

// end is how an answer ended.
type end string

const (
	endWhole       end = "Whole"
	endNotRun      end = "NotRun"
	endFailed      end = "Failed"
	endInterrupted end = "Interrupted"
	endDisplaced   end = "Displaced"
	endMismatch    end = "Mismatch"
	endInvalid     end = "Invalid"
	endLost        end = "Lost"
	endUnknown     end = "Unknown"
)

// message is one object of a stream: a token, a sign of life, or the end.
type message struct {
	Index     int    `json:",omitempty"`
	Text      string `json:",omitempty"`
	KeepAlive bool   `json:",omitempty"`
	// End is empty for all but the last message.
	End        end           `json:",omitempty"`
	Reason     string        `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
}

// ending returns the last message of an answer that ended with err.
func ending(err error) message {
	var n *sardineknot.NotRunError
	var f *sardineknot.FailedError
	var i *sardineknot.InterruptedError
	var d *sardineknot.DisplacedError
	var m *sardineknot.MismatchError
	var v *sardineknot.InvalidError
	var l *sardineknot.LostError
	switch {
	case errors.Is(err, io.EOF):
		return message{End: endWhole}
	case errors.As(err, &n):
		return message{End: endNotRun, Reason: n.Reason, RetryAfter: n.RetryAfter}
	case errors.As(err, &f):
		return message{End: endFailed, Reason: f.Reason, RetryAfter: f.RetryAfter}
	case errors.As(err, &i):
		return message{End: endInterrupted, Reason: i.Reason}
	case errors.As(err, &d):
		return message{End: endDisplaced}
	case errors.As(err, &m):
		return message{End: endMismatch}
	case errors.As(err, &v):
		return message{End: endInvalid, Reason: v.What}
	case errors.As(err, &l):
		return message{End: endLost}
	default:
		return message{End: endUnknown, Reason: err.Error()}
	}
}

// err returns the error of the last message for request k, after the tokens
// before offset.
func (m message) err(k sardineknot.RequestKey, offset int) error {
	switch m.End {
	case endWhole:
		return io.EOF
	case endNotRun:
		return &sardineknot.NotRunError{Reason: m.Reason, RetryAfter: m.RetryAfter}
	case endFailed:
		return &sardineknot.FailedError{Reason: m.Reason, RetryAfter: m.RetryAfter}
	case endInterrupted:
		return &sardineknot.InterruptedError{Offset: offset, Reason: m.Reason}
	case endDisplaced:
		return &sardineknot.DisplacedError{Key: k}
	case endMismatch:
		return &sardineknot.MismatchError{Key: k}
	case endInvalid:
		return &sardineknot.InvalidError{What: m.Reason, Got: "an index after the end", Expected: "an index of the answer"}
	case endLost:
		return &sardineknot.LostError{Key: k, Offset: offset}
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

// wait returns the token of b at index n. It sends signs of life meanwhile.
func (s *sender) wait(ctx context.Context, b *buffer.Buffer, d, n int) (sardineknot.Token, error) {
	for {
		c, cancel := context.WithTimeout(ctx, keepAlive)
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
