package holder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// members is a fake membership with fixed hosts.
type members struct {
	sardineknot.Membership
	hosts []sardineknot.EntryHost
}

func (m members) Hosts() []sardineknot.EntryHost { return m.hosts }

// fakeCalls is a fake callJoiner. Join returns err, or blocks until the context
// is done if hang is set.
type fakeCalls struct {
	err  error
	hang bool
}

func (f fakeCalls) Join(ctx context.Context, _ sardineknot.RequestKey, _ [32]byte) (sardineknot.ServiceAnswer, error) {
	if f.hang {
		<-ctx.Done()
		return sardineknot.ServiceAnswer{}, ctx.Err()
	}
	return sardineknot.ServiceAnswer{Status: http.StatusTeapot, ContentType: "text/plain", Body: []byte("b")}, f.err
}

// join queries a holder in state s, whose incarnation is 7, for a call that it
// claimed in incarnation n.
func join(t *testing.T, c callJoiner, s sardineknot.EntryHostState, n sardineknot.Incarnation) (sardineknot.ServiceAnswer, error) {
	h := sardineknot.EntryHost{ID: "h", Incarnation: 7, State: s}
	v := httptest.NewServer(NewHandler(h, c))
	t.Cleanup(v.Close)
	h.PeerAddress = netip.MustParseAddrPort(v.Listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	p := sardineknot.ClaimResult{Holder: "h", HolderIncarnation: n}
	k := sardineknot.RequestKey{Account: "verk", ID: "r"}
	return NewClient(members{hosts: []sardineknot.EntryHost{h}}, v.Client()).AwaitOutcome(ctx, p, k, [32]byte{})
}

// expectError checks that the query fails with an error of type E.
func expectError[E error](t *testing.T, c callJoiner, n sardineknot.Incarnation) {
	t.Helper()
	_, err := join(t, c, sardineknot.EntryHostAlive, n)
	var e E
	is.New(t).True(errors.As(err, &e))
}

func TestJoin(t *testing.T) {
	for _, s := range []sardineknot.EntryHostState{sardineknot.EntryHostAlive, sardineknot.EntryHostDead} {
		t.Run("answer of a host that counts as "+s.String(), func(t *testing.T) {
			a, err := join(t, fakeCalls{}, s, 7)
			is.New(t).NoErr(err)
			is.New(t).Equal(a, sardineknot.ServiceAnswer{Status: http.StatusTeapot, ContentType: "text/plain", Body: []byte("b")})
		})
	}
	t.Run("not run", func(t *testing.T) {
		expectError[*sardineknot.NotRunError](t, fakeCalls{err: &sardineknot.NotRunError{}}, 7)
	})
	t.Run("other content", func(t *testing.T) {
		expectError[*sardineknot.ContentMismatchError](t, fakeCalls{err: &sardineknot.ContentMismatchError{}}, 7)
	})
	t.Run("unknown", func(t *testing.T) {
		expectError[*sardineknot.OutcomeUnknownError](t, fakeCalls{err: &sardineknot.OutcomeUnknownError{}}, 7)
	})
	t.Run("restarted holder", func(t *testing.T) {
		expectError[*sardineknot.OutcomeUnknownError](t, fakeCalls{}, 6)
	})
}

func TestJoinWithoutHolder(t *testing.T) {
	t.Run("unknown host", func(t *testing.T) {
		_, err := NewClient(members{}, http.DefaultClient).AwaitOutcome(context.Background(), sardineknot.ClaimResult{Holder: "h"}, sardineknot.RequestKey{}, [32]byte{})
		var u *sardineknot.UnavailableError
		is.New(t).True(errors.As(err, &u))
	})
	t.Run("silent host", func(t *testing.T) {
		_, err := join(t, fakeCalls{hang: true}, sardineknot.EntryHostAlive, 7)
		is.New(t).True(err != nil)
	})
}
