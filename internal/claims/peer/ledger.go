// Package peer asks the entry host that ranks first for a claim shard to write
// claims, so that the claims of all hosts share its writes.
//
// Rank only saves writes. If that host does not answer, a second one is asked,
// and then this host writes itself; the compare-and-swap of the chain decides
// between hosts that write at once. If a writer says that the store does not
// answer, only the second one tries too: were all hosts to try, a store in
// trouble would get a call from each.
package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/claims/chain"
	"sardineknot.example/sardineknot/internal/rpc/claims"
)

const (
	// maxWait bounds the wait for another host.
	maxWait = time.Second
	// waitShare is the part of the remaining time that is spent on one host.
	waitShare = 4
	// secondSuffix names the shard for the host to ask if the first fails.
	secondSuffix = "/second"
)

// Ledger is a sardineknot.ClaimLedger. It is safe for concurrent use. All
// exported fields are set before use.
type Ledger struct {
	// Self is this entry host.
	Self sardineknot.EntryHost
	// Local writes claims.
	Local sardineknot.ClaimLedger
	// Ranker gives the writers of shards.
	Ranker sardineknot.Ranker
	// Client calls other entry hosts.
	Client *http.Client
}

var _ sardineknot.ClaimLedger = (*Ledger)(nil)

// Claim implements sardineknot.ClaimLedger.
func (l *Ledger) Claim(ctx context.Context, a sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	q := &claims.ClaimRequest{Attempt: encode(a)}
	var p *claims.ClaimResponse
	err := l.ask(ctx, a.Key, func(ctx context.Context, c claims.Claims) (err error) {
		p, err = c.Claim(ctx, q)
		return err
	})
	if writesHere(err) {
		return l.Local.Claim(ctx, a)
	}
	if err != nil {
		return sardineknot.ClaimResult{}, storeUnavailable(err)
	}
	return sardineknot.ClaimResult{
		Granted:           p.GetGranted(),
		Holder:            sardineknot.EntryHostID(p.GetHolder()),
		HolderIncarnation: sardineknot.Incarnation(p.GetHolderIncarnation()),
	}, nil
}

// Release implements sardineknot.ClaimLedger.
func (l *Ledger) Release(ctx context.Context, a sardineknot.ClaimAttempt) error {
	q := &claims.ReleaseRequest{Attempt: encode(a)}
	err := l.ask(ctx, a.Key, func(ctx context.Context, c claims.Claims) error {
		_, err := c.Release(ctx, q)
		return err
	})
	if writesHere(err) {
		return l.Local.Release(ctx, a)
	}
	if err != nil {
		return storeUnavailable(err)
	}
	return nil
}

// noWriterError reports that this host has to write itself.
type noWriterError struct{}

// Error implements error.
func (*noWriterError) Error() string { return "no other host writes the shard" }

func writesHere(err error) bool {
	var n *noWriterError
	return errors.As(err, &n)
}

// ask calls f with the writers of k's shard in turn, until one answers. It
// fails with a noWriterError if this host is next or none answers, and with
// the error of a writer that said that the store does not answer.
func (l *Ledger) ask(ctx context.Context, k sardineknot.RequestKey, f func(context.Context, claims.Claims) error) error {
	s := chain.Shard(k)
	var down error
	for _, n := range []string{s, s + secondSuffix} {
		h, ok := l.Ranker.Owner(n)
		if !ok || h.ID == l.Self.ID {
			return &noWriterError{}
		}
		err := l.askHost(ctx, h, f)
		if err == nil {
			return nil
		}
		if isStoreDown(err) {
			down = err
		}
	}
	if down != nil {
		return down
	}
	return &noWriterError{}
}

func (l *Ledger) askHost(ctx context.Context, h sardineknot.EntryHost, f func(context.Context, claims.Claims) error) error {
	w := maxWait
	d, ok := ctx.Deadline()
	if ok {
		w = min(w, time.Until(d)/waitShare)
	}
	ctx, cancel := context.WithTimeout(ctx, w)
	defer cancel()
	return f(ctx, claims.NewClaimsProtobufClient("http://"+h.PeerAddress.String(), l.Client))
}

// isStoreDown reports whether err is the answer of a writer that cannot reach
// the store.
func isStoreDown(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.FailedPrecondition
}

func storeUnavailable(err error) error {
	return errors.WithStack(&sardineknot.UnavailableError{Peer: "claim ledger", Cause: err})
}

func encode(a sardineknot.ClaimAttempt) *claims.Attempt {
	return &claims.Attempt{
		Account:           string(a.Key.Account),
		Request:           string(a.Key.ID),
		Holder:            string(a.Holder),
		HolderIncarnation: uint64(a.HolderIncarnation),
		Nonce:             a.Nonce,
	}
}
