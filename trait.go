package sardineknot

import (
	"slices"
	"strconv"
	"strings"
)

// Trait identifies, by a hash, something that several requests may have in common
// and that may end the servers that run them: a part of the prompts of one model,
// whatever precedes it, or a whole request, whatever its identifier.
type Trait uint64

// MaxPromptParts is the maximum number of parts of a prompt that are known.
const MaxPromptParts = 32

// String returns the hash in hexadecimal.
func (t Trait) String() string { return strconv.FormatUint(uint64(t), 16) }

// TraitList is a list of traits of a request.
type TraitList []Trait

// String returns the traits, separated by commas.
func (l TraitList) String() string {
	s := make([]string, len(l))
	for i, t := range l {
		s[i] = t.String()
	}
	return strings.Join(s, ",")
}

// RequestTraits holds the traits of one request.
type RequestTraits struct {
	// Parts holds the parts of the prompt that other requests may share. It is empty
	// if the request is not a generation.
	Parts TraitList
	// Broad holds traits that the request has in common with all attempts of its
	// caller at the same request, and possibly with requests of other callers that
	// have the same path and body.
	Broad TraitList
	// Exact holds traits that the request has in common only with attempts of its
	// caller at the same request, or at requests with the same prompt: they have the
	// same path, body, address and header fields, or the same own part of the prompt.
	// It is not empty.
	Exact TraitList
}

// Whole returns the traits of the whole request: the exact ones, and after them the
// broad ones.
func (r RequestTraits) Whole() TraitList { return slices.Concat(r.Exact, r.Broad) }

// All returns all traits of r.
func (r RequestTraits) All() TraitList { return slices.Concat(r.Parts, r.Broad, r.Exact) }
