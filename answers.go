package sardineknot

import (
	"context"
	"net/netip"
)

// AnswerRecord tells which entry host produces the answer to a request.
type AnswerRecord struct {
	// Key identifies the request.
	Key RequestKey
	// Host and Incarnation tell which life of which host produces the answer.
	Host        EntryHostID
	Incarnation Incarnation
	// PeerAddress is where other entry hosts reach Host.
	PeerAddress netip.AddrPort
	// Decode is the engine that generates the answer. It is empty until the
	// decode has started.
	Decode BackendServerName
	// Attempt is the attempt that runs, on Decode if that is set.
	Attempt int
	// Ended tells that the answer is no longer kept. The record remains for
	// some time, so that attempts are not numbered twice.
	Ended bool
}

// AnswerDirectory tells, over all entry hosts, where the answer to a request
// is produced. It is soft state of the live hosts.
type AnswerDirectory interface {
	// Register records r unless another live host has a record of the same
	// request that has not ended. It returns the record in force. previous is
	// the record that r replaced, or nil: that of a dead host, of an answer
	// that has ended, or an earlier one of the same host. It fails with an
	// UnavailableError if the shard's owner does not answer.
	Register(ctx context.Context, r AnswerRecord) (current AnswerRecord, previous *AnswerRecord, err error)
	// Forget removes r. It has no effect if another record is in force.
	Forget(ctx context.Context, r AnswerRecord)
}
