// Package events has generations answered by engines and passes their streams
// of events on.
//
// Every try asks for engines first. The prompt is read by a prefill engine, and
// the decode engine imports the KV cache. If the cache is lost on the way, the
// decode engine reads the prompt itself. A stream that breaks off goes on at
// another engine after its last whole event, if its route allows that; the
// caller sees one answer.
package events
