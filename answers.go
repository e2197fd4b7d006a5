package sardineknot

import (
	"context"
	"net/netip"
)

// AnswerRecord records which entry host produces the answer to a request.
type AnswerRecord struct {
	// Key identifies the request.
	Key RequestKey
	// Host and Incarnation identify the process that produces the answer.
	Host        EntryHostID
	Incarnation Incarnation
	// PeerAddress is the address of Host for other entry hosts.
	PeerAddress netip.AddrPort
	// DecodeEngine is the engine that generates the answer. It is empty until
	// decoding has started.
	DecodeEngine BackendServerName
	// Attempt is the number of the current attempt. Once decoding has started,
	// this is the attempt that runs on the decode engine.
	Attempt int
	// Ended is true if the host no longer keeps the answer. The record itself
	// is kept for some time afterwards, so that a later attempt does not reuse
	// an attempt number.
	Ended bool
}

// AnswerDirectory records, across all entry hosts, which host produces the
// answer to each request. It is soft state: it is held by the live hosts only
// and is not persisted.
type AnswerDirectory interface {
	// Register stores record, unless another live host has a record of the same
	// request that has not ended. It returns the record in force. previous is
	// the record that was replaced, or nil if there was none: the record of a
	// dead host, the record of an answer that has ended, or an earlier record
	// of the same host. Register fails with an UnavailableError if the owner of
	// the directory shard does not answer.
	Register(ctx context.Context, record AnswerRecord) (current AnswerRecord, previous *AnswerRecord, err error)
	// Unregister marks the record of the same request as ended. It has no
	// effect if the record in force belongs to another host or incarnation.
	Unregister(ctx context.Context, record AnswerRecord)
}
