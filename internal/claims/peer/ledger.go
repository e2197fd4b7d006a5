// Package peer implements a ledger that forwards each claim to the entry host
// that ranks first for its shard, so that this host writes the claims of all
// hosts in common groups.
//
// The ranking only reduces the number of writes and is not needed for
// correctness: if hosts write concurrently, the compare-and-swap of package
// groupcommit decides between them. If the first host does not answer, the
// second one is called, and if that fails too, this host writes the claim
// itself. If the first writer reports that the store does not answer, only the
// second writer tries as well. If every host tried, an overloaded store would
// receive calls from all of them.
package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/claims/groupcommit"
	"sardineknot.example/sardineknot/internal/rpc/claims"
)

const (
	// maxHostTimeout limits the time of a call to another host.
	maxHostTimeout = time.Second
	// hostTimeoutDivisor limits the time of a call to one host to
	// 1/hostTimeoutDivisor of the time that remains until the caller's
	// deadline.
	hostTimeoutDivisor = 4
	// secondWriterSuffix is appended to a shard name to form the name for which
	// Ranker.Owner returns the second writer.
	secondWriterSuffix = "/second"
)

// Ledger is a sardineknot.ClaimLedger that forwards each claim to one of the
// two writers of the claim's shard, which are the hosts that rank first and
// second for this shard. It is safe for concurrent use. The exported fields
// must be set before use.
type Ledger struct {
	// Self is this entry host.
	Self sardineknot.EntryHost
	// Local writes the claims that this host must write itself.
	Local sardineknot.ClaimLedger
	// Ranker determines the two writers of each shard.
	Ranker sardineknot.Ranker
	// Client calls other entry hosts.
	Client *http.Client
}

var _ sardineknot.ClaimLedger = (*Ledger)(nil)

// Claim implements sardineknot.ClaimLedger.
func (l *Ledger) Claim(ctx context.Context, attempt sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	q := &claims.ClaimRequest{Attempt: encode(attempt)}
	var p *claims.ClaimResponse
	err := l.callWriters(ctx, attempt.Key, func(ctx context.Context, c claims.Claims) (err error) {
		p, err = c.Claim(ctx, q)
		return err
	})
	if mustWriteLocally(err) {
		return l.Local.Claim(ctx, attempt)
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
func (l *Ledger) Release(ctx context.Context, attempt sardineknot.ClaimAttempt) error {
	q := &claims.ReleaseRequest{Attempt: encode(attempt)}
	err := l.callWriters(ctx, attempt.Key, func(ctx context.Context, c claims.Claims) error {
		_, err := c.Release(ctx, q)
		return err
	})
	if mustWriteLocally(err) {
		return l.Local.Release(ctx, attempt)
	}
	if err != nil {
		return storeUnavailable(err)
	}
	return nil
}

// noWriterError reports that no other host can write the claim, so that this
// host must write it.
type noWriterError struct{}

// Error implements error.
func (*noWriterError) Error() string { return "no other host writes the shard" }

// mustWriteLocally reports whether err is a noWriterError.
func mustWriteLocally(err error) bool {
	var n *noWriterError
	return errors.As(err, &n)
}

// callWriters invokes call for the first and then for the second writer of
// key's shard, until one invocation succeeds. If the next writer is this host,
// it fails with a noWriterError. If both invocations fail, it fails with the
// error of a writer that reported that the store does not answer, or with a
// noWriterError if neither did.
func (l *Ledger) callWriters(ctx context.Context, key sardineknot.RequestKey, call func(context.Context, claims.Claims) error) error {
	s := groupcommit.ShardName(key)
	var down error
	for _, n := range []string{s, s + secondWriterSuffix} {
		h, ok := l.Ranker.Owner(n)
		if !ok || h.ID == l.Self.ID {
			return &noWriterError{}
		}
		err := l.callHost(ctx, h, call)
		if err == nil {
			return nil
		}
		if isStoreUnavailable(err) {
			down = err
		}
	}
	if down != nil {
		return down
	}
	return &noWriterError{}
}

func (l *Ledger) callHost(ctx context.Context, host sardineknot.EntryHost, call func(context.Context, claims.Claims) error) error {
	w := maxHostTimeout
	d, ok := ctx.Deadline()
	if ok {
		w = min(w, time.Until(d)/hostTimeoutDivisor)
	}
	ctx, cancel := context.WithTimeout(ctx, w)
	defer cancel()
	return call(ctx, claims.NewClaimsProtobufClient("http://"+host.PeerAddress.String(), l.Client))
}

// isStoreUnavailable reports whether err is the response of a writer that
// cannot reach the store.
func isStoreUnavailable(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.FailedPrecondition
}

func storeUnavailable(err error) error {
	return errors.WithStack(&sardineknot.UnavailableError{Peer: "claim ledger", Cause: err})
}

func encode(attempt sardineknot.ClaimAttempt) *claims.Attempt {
	return &claims.Attempt{
		Account:           string(attempt.Key.Account),
		Request:           string(attempt.Key.ID),
		Holder:            string(attempt.Holder),
		HolderIncarnation: uint64(attempt.HolderIncarnation),
		Nonce:             attempt.Nonce,
	}
}
