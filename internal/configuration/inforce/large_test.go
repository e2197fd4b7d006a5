package inforce_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/inforce"
	"sardineknot.example/sardineknot/internal/configuration/store"
	"sardineknot.example/sardineknot/internal/host/clock"
	rpc "sardineknot.example/sardineknot/internal/rpc/inforce"
)

const (
	// slowBytes is the number of bytes that arrive of all answers together in slowInterval:
	// a link of 10 Mbit/s.
	slowBytes    = 1250
	slowInterval = time.Millisecond
)

// slowFleet is a fleet whose answers share a slow link.
type slowFleet struct {
	*fleet
	turn chan struct{}
}

// RoundTrip implements http.RoundTripper.
func (f *slowFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	p, err := f.fleet.RoundTrip(r)
	if err == nil {
		p.Body = &slowBody{ReadCloser: p.Body, ctx: r.Context(), turn: f.turn}
	}
	return p, err
}

// slowBody is the body of an answer over a slow link.
type slowBody struct {
	io.ReadCloser
	ctx  context.Context
	turn chan struct{}
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	err := clock.System{}.Sleep(b.ctx, slowInterval)
	if err != nil {
		return 0, err
	}
	return b.ReadCloser.Read(p[:min(len(p), slowBytes)])
}

// largeDecoder is a fake sardineknot.StoreEntryDecoder. The value of an entry is the operators'
// revision and a text.
type largeDecoder struct{ sardineknot.StoreEntryDecoder }

func (largeDecoder) DecodeConfiguration(e sardineknot.StoreEntry) (*sardineknot.Configuration, bool, error) {
	s, _, _ := strings.Cut(string(e.Value), " ")
	n, err := strconv.Atoi(s)
	return &sardineknot.Configuration{Revision: sardineknot.Revision(n)}, true, err
}

// newLargeSource returns a source with the given revision in force, which is long.
func newLargeSource(revision int) *store.Source {
	s := newSource(0)
	s.Decoder = largeDecoder{}
	r := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	fmt.Fprint(&b, revision)
	for range 1448 {
		fmt.Fprintf(&b, ` {"name":"r-%x","host":"%x.example","prefix":"/%x/","kind":"unsafe","timeoutMs":800,"sloMs":300,"priority":2,"attempts":1,"canResume":false}`, r.Uint32(), r.Uint32(), r.Uint32())
	}
	s.Apply(sardineknot.StoreEntry{Key: "config", Value: []byte(b.String()), Revision: sardineknot.StoreRevision{Number: 9}})
	s.Commit()
	return s
}

// TestLargeConfiguration guards against a host behind a weak link that keeps an older
// configuration from a restored service, because the newer one of other hosts is long and does
// not arrive in time from all of them at once.
func TestLargeConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &slowFleet{fleet: &fleet{handlers: make(map[string]http.Handler)}, turn: make(chan struct{}, 1)}
		for range 3 {
			f.add(-1)
			_, f.handlers[f.hosts[len(f.hosts)-1].PeerAddress.String()] = (&inforce.Exchange{Source: newLargeSource(7)}).Handler()
		}
		s := newLargeSource(5)
		e := &inforce.Exchange{Source: s, Members: f, Client: &http.Client{Transport: f}, Random: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop()}
		e.Fetch(t.Context())
		s.Commit()
		is.Equal(int(s.Current().Revision), 7)
	})
}

// TestFrameAccepted covers callers of builds that do not accept frames.
func TestFrameAccepted(t *testing.T) {
	is := is.New(t)
	f := &fleet{handlers: make(map[string]http.Handler)}
	f.add(-1)
	a := f.hosts[0].PeerAddress.String()
	_, f.handlers[a] = (&inforce.Exchange{Source: newLargeSource(7)}).Handler()
	c := rpc.NewConfigurationsProtobufClient("http://"+a, &http.Client{Transport: f})
	p, err := c.Newer(t.Context(), &rpc.NewerRequest{Revision: 5})
	is.NoErr(err)
	is.True(strings.HasPrefix(string(p.GetValue()), "7 "))
	is.Equal(len(p.GetFrame()), 0)
}
