// Package h2c passes answers between entry hosts as streams over HTTP/2, when
// a caller asks for an answer at another host than the one that produces it.
//
// A stream is a sequence of JSON objects, one for each token and one for the
// end. It is a delivery like any other: it ends the earlier one.
package h2c

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/registry"
)

// Path is the path that a Relay is served at.
const Path = "/answers/stream"

// silence is the longest time without a message of a relayed answer. The
// producing host sends one at least every keepAlive.
const (
	silence   = 3 * time.Second
	keepAlive = time.Second
)

// Relay passes answers on to other hosts and reads theirs. It is safe for
// concurrent use. All fields are set before use.
type Relay struct {
	// Answers holds the answers that this host produces.
	Answers *registry.Registry
	// Client calls other entry hosts.
	Client *http.Client
}

var _ http.Handler = (*Relay)(nil)

// Open returns the answer of record r from token offset on. fingerprint is the
// hash of the request's content. It fails with an UnavailableError if the host
// does not answer or does not have the answer.
func (r *Relay) Open(ctx context.Context, a sardineknot.AnswerRecord, fingerprint uint64, offset int) (sardineknot.TokenStream, error) {
	v := url.Values{
		"Account":     {string(a.Key.Account)},
		"ID":          {string(a.Key.ID)},
		"Fingerprint": {strconv.FormatUint(fingerprint, 10)},
		"Offset":      {strconv.Itoa(offset)},
	}
	ctx, cancel := context.WithCancel(ctx)
	w := time.AfterFunc(silence, cancel)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.PeerAddress.String()+Path+"?"+v.Encode(), nil)
	if err != nil {
		cancel()
		return nil, errors.WithStack(err)
	}
	p, err := r.Client.Do(q)
	if err != nil {
		cancel()
		return nil, errors.WithStack(&sardineknot.UnavailableError{Peer: string(a.Host), Cause: err})
	}
	return &stream{record: a, body: p.Body, decoder: json.NewDecoder(p.Body), watchdog: w, cancel: cancel, next: offset}, nil
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	k := sardineknot.RequestKey{
		Account: sardineknot.ClientAccountName(v.Get("Account")),
		ID:      sardineknot.RequestID(v.Get("ID")),
	}
	f, err := strconv.ParseUint(v.Get("Fingerprint"), 10, 64)
	if err != nil {
		http.Error(w, "Fingerprint is not a number", http.StatusBadRequest)
		return
	}
	o, err := strconv.Atoi(v.Get("Offset"))
	if err != nil {
		http.Error(w, "Offset is not a number", http.StatusBadRequest)
		return
	}
	c := &sender{encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
	b, err := r.Answers.Find(k, f)
	if err == nil && b == nil {
		err = &sardineknot.UnknownError{What: "Answer", Name: k.String()}
	}
	if err != nil {
		_ = c.send(ending(err))
		return
	}
	d := b.Attach()
	defer b.Detach(d)
	for n := o; ; n++ {
		t, err := c.wait(q.Context(), b, d, n)
		if err != nil {
			_ = c.send(ending(err))
			return
		}
		if c.send(message{Index: t.Index, Text: t.Text}) != nil {
			return
		}
	}
}

// stream is a sardineknot.TokenStream of another host.
type stream struct {
	record   sardineknot.AnswerRecord
	body     io.ReadCloser
	decoder  *json.Decoder
	watchdog *time.Timer
	cancel   context.CancelFunc
	// next is the index of the next token.
	next int
}

// Next implements sardineknot.TokenStream.
func (s *stream) Next() (sardineknot.Token, error) {
	for {
		var m message
		err := s.decoder.Decode(&m)
		if err != nil {
			return sardineknot.Token{}, errors.WithStack(&sardineknot.UnavailableError{Peer: string(s.record.Host), Cause: err})
		}
		s.watchdog.Reset(silence)
		switch {
		case m.End != "":
			return sardineknot.Token{}, m.err(s.record.Key, s.next)
		case m.KeepAlive:
		default:
			s.next++
			return sardineknot.Token{Index: m.Index, Text: m.Text}, nil
		}
	}
}

// Close implements sardineknot.TokenStream.
func (s *stream) Close() error {
	s.watchdog.Stop()
	s.cancel()
	return errors.WithStack(s.body.Close())
}
