// Package engine is a stand-in of a model engine. It serves completions in the
// form of the OpenAI interface with the kv_transfer_params of vLLM.
//
// A prefill holds its blocks until a decode engine reads them or until they
// are evicted. A decode holds a slot until its last token or its cancellation,
// whether or not anyone reads the stream. A stream may be resumed at any token
// for some time after its end. Tokens are a function of the prompt, so that a
// test can tell whose answer it sees.
package engine
