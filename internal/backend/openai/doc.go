// Package openai is a client of prefill and decode engines that serve the
// OpenAI completions API with the extensions of vLLM.
//
// A prefill is a completion with do_remote_decode, whose response names the KV
// cache blocks. A decode is a streamed completion that imports these blocks.
// Streams are server-sent events; the event ID of a token is its index, and a
// stream is resumed with the header Last-Event-ID. A stream without an event
// for a set time reports a silence, because a connection can stall without an
// error. It stays open, because the engine may go on and may refuse to resume
// the stream. The wait for the first token of a new stream is exempt from this
// timeout, since the request may be queued in the engine.
package openai
