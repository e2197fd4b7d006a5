package peer

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// fakeLedger is a fake ledger of a writer. It names the writer as the holder of
// every claim, so that tests see which writer was called. Its methods return
// err.
type fakeLedger struct {
	name string
	err  error
	// released counts the calls of Release.
	released int
}

func (f *fakeLedger) Claim(context.Context, sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	return sardineknot.ClaimResult{Granted: true, Holder: sardineknot.EntryHostID(f.name)}, f.err
}

func (f *fakeLedger) Release(context.Context, sardineknot.ClaimAttempt) error {
	f.released++
	return f.err
}

// fakeRanker is a fake Ranker whose elements are the first and the second
// writer of every shard.
type fakeRanker [2]sardineknot.EntryHost

func (f fakeRanker) Owner(shard string) (sardineknot.EntryHost, bool) {
	if strings.HasSuffix(shard, secondWriterSuffix) {
		return f[1], true
	}
	return f[0], true
}

// startWriter starts a writer that serves ledger.
func startWriter(t *testing.T, ledger *fakeLedger) sardineknot.EntryHost {
	s := httptest.NewServer(NewHandler(ledger))
	t.Cleanup(s.Close)
	a := netip.MustParseAddrPort(s.Listener.Addr().String())
	return sardineknot.EntryHost{ID: sardineknot.EntryHostID(ledger.name), PeerAddress: a}
}

// unreachableHost returns a host whose address refuses connections.
func unreachableHost(t *testing.T) sardineknot.EntryHost {
	s := httptest.NewServer(nil)
	a := netip.MustParseAddrPort(s.Listener.Addr().String())
	s.Close()
	return sardineknot.EntryHost{ID: "dead", PeerAddress: a}
}

func TestClaim(t *testing.T) {
	down := errors.New("store down")
	x := sardineknot.EntryHost{ID: "x"}
	for n, c := range map[string]struct {
		ranks  fakeRanker
		writer string
	}{
		"calls the first writer":               {fakeRanker{startWriter(t, &fakeLedger{name: "y"}), x}, "y"},
		"calls the second writer":              {fakeRanker{unreachableHost(t), startWriter(t, &fakeLedger{name: "z"})}, "z"},
		"calls the second writer in an outage": {fakeRanker{startWriter(t, &fakeLedger{name: "y", err: down}), startWriter(t, &fakeLedger{name: "z"})}, "z"},
		"writes locally as the first writer":   {fakeRanker{x, unreachableHost(t)}, "x"},
		"writes locally as the second writer":  {fakeRanker{unreachableHost(t), x}, "x"},
		"writes locally if no writer answers":  {fakeRanker{unreachableHost(t), unreachableHost(t)}, "x"},
		"fails in an outage":                   {fakeRanker{startWriter(t, &fakeLedger{name: "y", err: down}), unreachableHost(t)}, ""},
	} {
		t.Run(n, func(t *testing.T) { expectWriter(t, c.ranks, c.writer) })
	}
}

// expectWriter claims through a ledger of host x and checks which writer
// granted the claim. An empty writer means that the claim must fail with an
// UnavailableError.
func expectWriter(t *testing.T, ranker fakeRanker, writer string) {
	i := is.New(t)
	l := &Ledger{Self: sardineknot.EntryHost{ID: "x"}, Local: &fakeLedger{name: "x"}, Ranker: ranker, Client: httptest.NewServer(nil).Client()}
	p, err := l.Claim(context.Background(), sardineknot.ClaimAttempt{})
	var u *sardineknot.UnavailableError
	i.Equal(errors.As(err, &u), writer == "")
	i.Equal(string(p.Holder), writer)
}

func TestRelease(t *testing.T) {
	t.Run("reaches the writer", func(t *testing.T) {
		i := is.New(t)
		f := &fakeLedger{name: "y"}
		l := &Ledger{Ranker: fakeRanker{startWriter(t, f), unreachableHost(t)}, Local: &fakeLedger{}, Client: httptest.NewServer(nil).Client()}
		i.NoErr(l.Release(context.Background(), sardineknot.ClaimAttempt{}))
		i.Equal(f.released, 1)
	})
}
