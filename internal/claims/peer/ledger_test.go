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

// fakeLedger grants every claim in the name of a writer, or fails.
type fakeLedger struct {
	name     string
	err      error
	released int
}

func (f *fakeLedger) Claim(context.Context, sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	return sardineknot.ClaimResult{Granted: true, Holder: sardineknot.EntryHostID(f.name)}, f.err
}

func (f *fakeLedger) Release(context.Context, sardineknot.ClaimAttempt) error {
	f.released++
	return f.err
}

// fakeRanker gives the first and the second writer.
type fakeRanker [2]sardineknot.EntryHost

func (f fakeRanker) Owner(shard string) (sardineknot.EntryHost, bool) {
	if strings.HasSuffix(shard, secondSuffix) {
		return f[1], true
	}
	return f[0], true
}

// serve starts a writer.
func serve(t *testing.T, f *fakeLedger) sardineknot.EntryHost {
	s := httptest.NewServer(NewHandler(f))
	t.Cleanup(s.Close)
	a := netip.MustParseAddrPort(s.Listener.Addr().String())
	return sardineknot.EntryHost{ID: sardineknot.EntryHostID(f.name), PeerAddress: a}
}

// dead returns a host that does not answer.
func dead(t *testing.T) sardineknot.EntryHost {
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
		"asks the first":               {fakeRanker{serve(t, &fakeLedger{name: "y"}), x}, "y"},
		"asks the second":              {fakeRanker{dead(t), serve(t, &fakeLedger{name: "z"})}, "z"},
		"asks the second about outage": {fakeRanker{serve(t, &fakeLedger{name: "y", err: down}), serve(t, &fakeLedger{name: "z"})}, "z"},
		"writes itself as the first":   {fakeRanker{x, dead(t)}, "x"},
		"writes itself as the second":  {fakeRanker{dead(t), x}, "x"},
		"writes itself as the last":    {fakeRanker{dead(t), dead(t)}, "x"},
		"refuses in an outage":         {fakeRanker{serve(t, &fakeLedger{name: "y", err: down}), dead(t)}, ""},
	} {
		t.Run(n, func(t *testing.T) { expectWriter(t, c.ranks, c.writer) })
	}
}

// expectWriter compares the writer of a claim, or expects a refusal if writer
// is empty.
func expectWriter(t *testing.T, r fakeRanker, writer string) {
	i := is.New(t)
	l := &Ledger{Self: sardineknot.EntryHost{ID: "x"}, Local: &fakeLedger{name: "x"}, Ranker: r, Client: httptest.NewServer(nil).Client()}
	p, err := l.Claim(context.Background(), sardineknot.ClaimAttempt{})
	var u *sardineknot.UnavailableError
	i.Equal(errors.As(err, &u), writer == "")
	i.Equal(string(p.Holder), writer)
}

func TestRelease(t *testing.T) {
	t.Run("reaches the writer", func(t *testing.T) {
		i := is.New(t)
		f := &fakeLedger{name: "y"}
		l := &Ledger{Ranker: fakeRanker{serve(t, f), dead(t)}, Local: &fakeLedger{}, Client: httptest.NewServer(nil).Client()}
		i.NoErr(l.Release(context.Background(), sardineknot.ClaimAttempt{}))
		i.Equal(f.released, 1)
	})
}
