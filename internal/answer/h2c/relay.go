// Package h2c relays answers between entry hosts as streams over HTTP/2, for
// callers that request an answer from a host other than the one that produces
// it.
//
// A stream is a sequence of JSON objects, one for each token and one for the
// end, interspersed with keep-alives. The producing host treats a stream as a
// delivery, which ends the earlier delivery of the answer.
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

// Path is the path at which a Relay is served.
const Path = "/answers/stream"

// silenceTimeout is the longest time without a message on a relayed stream. The
// producing host sends a message at least every keepAliveInterval.
const (
	silenceTimeout    = 3 * time.Second
	keepAliveInterval = time.Second
)

// Relay serves answers to other hosts and reads answers from them. It is safe
// for concurrent use. All fields must be set before use.
type Relay struct {
	// Answers holds the answers that this host produces.
	Answers *registry.Registry
	// Client calls other entry hosts.
	Client *http.Client
}

var _ http.Handler = (*Relay)(nil)

// Open requests an answer from the host that produces it. a is the directory
// record of the answer, which names that host. The returned stream starts at
// the token with the index offset. fingerprint is the hash of the request's
// content. Open fails with an UnavailableError if the host does not respond.
// Any other failure, such as an answer that the host does not have, is returned
// by the stream.
func (r *Relay) Open(ctx context.Context, a sardineknot.AnswerRecord, fingerprint uint64, offset int) (sardineknot.TokenStream, error) {
	v := url.Values{
		"Account":     {string(a.Key.Account)},
		"ID":          {string(a.Key.ID)},
		"Fingerprint": {strconv.FormatUint(fingerprint, 10)},
		"Offset":      {strconv.Itoa(offset)},
	}
	ctx, cancel := context.WithCancel(ctx)
	w := time.AfterFunc(silenceTimeout, cancel)
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
		_ = c.send(endMessage(err))
		return
	}
	d := b.Attach()
	defer b.Detach(d)
	for n := o; ; n++ {
		t, err := c.waitToken(q.Context(), b, d, n)
		if err != nil {
			_ = c.send(endMessage(err))
			return
		}
		if c.send(message{Index: t.Index, Text: t.Text}) != nil {
			return
		}
	}
}

// stream is a sardineknot.TokenStream that reads an answer from another host.
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
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // io.EOF is the end of a complete answer
		}
		if err != nil {
			return sardineknot.Token{}, errors.WithStack(&sardineknot.UnavailableError{Peer: string(s.record.Host), Cause: err})
		}
		s.watchdog.Reset(silenceTimeout)
		switch {
		case m.End != "":
			return sardineknot.Token{}, m.endError(s.record.Key, s.next)
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
