// Package engine implements a stand-in for a model engine. It serves
// completions in the format of the OpenAI API with the kv_transfer_params of
// vLLM.
//
// A prefill keeps its KV cache blocks until a decode engine reads them, the
// request is cancelled, or they are evicted. A decode occupies a slot until its
// last token or its cancellation, even if no client reads the stream. While a
// decode runs and for some time after it completes, its stream can be resumed
// at any token that this engine generates. The text of each token depends only
// on the prompt and the token's index, so that a test can detect tokens of
// another answer.
package engine
