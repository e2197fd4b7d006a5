package sardineknot

import (
	"strconv"
	"strings"
)

// PromptPart identifies a part of the prompts of one model by a hash of the
// model and the identifier of the part. Prompts with the same part have the same
// value, whatever precedes the part.
type PromptPart uint64

// MaxPromptParts is the maximum number of parts of a prompt that are known.
const MaxPromptParts = 32

// String returns the hash in hexadecimal.
func (p PromptPart) String() string { return strconv.FormatUint(uint64(p), 16) }

// PromptPartList is a list of the parts of a prompt.
type PromptPartList []PromptPart

// String returns the parts, separated by commas.
func (l PromptPartList) String() string {
	t := make([]string, len(l))
	for i, p := range l {
		t[i] = p.String()
	}
	return strings.Join(t, ",")
}
