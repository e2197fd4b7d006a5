// Package openai calls prefill and decode engines through the OpenAI
// completions interface with the extensions of vLLM.
//
// A prefill is a completion with do_remote_decode, whose answer names the KV
// cache blocks. A decode is a streamed completion that imports them. Streams
// are server-sent events; the event identifier of a token is its index, and a
// stream is resumed with the header Last-Event-ID. A stream without progress
// for a set time counts as broken, because a connection may go silent without
// an error. The time to the first token of a new stream is not progress: the
// request may wait in the engine's queue.
package openai
