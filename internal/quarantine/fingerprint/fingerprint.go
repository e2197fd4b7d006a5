package fingerprint

import (
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sardineknot.example/sardineknot"
)

// Of returns the traits of call: the parts of its prompt that other requests may
// share, and the fingerprints of the whole request. The same request of the same
// caller has the same traits at all hosts.
func Of(call *sardineknot.Call) sardineknot.RequestTraits {
	p, q, _ := strings.Cut(call.Target, "?")
	b := strconv.FormatUint(xxhash.Sum64(call.Body), 16)
	p = digest(call.Method, call.Host, p, b)
	c := digest(p, q)
	a, f := call.CallerAddress.String(), fields(call)
	r := sardineknot.RequestTraits{
		Broad: sardineknot.TraitList{hash("path", p), hash("content", c), hash("address", c, a), hash("fields", c, f)},
		Exact: sardineknot.TraitList{hash("address and fields", c, a, f)},
	}
	if g := call.Generation; g != nil {
		r.Parts = g.Parts
		if g.OwnPart != 0 {
			r.Exact = append(r.Exact, g.OwnPart)
		}
	}
	return r
}

// fields returns a digest of what the header of call holds with each attempt of its
// caller: the fields, and the client account that its key belongs to.
func fields(call *sardineknot.Call) string {
	var l []string
	if call.Account != nil {
		l = append(l, string(call.Account.Name))
	}
	for _, n := range slices.Sorted(maps.Keys(call.Header)) {
		if !slices.Contains(call.AttemptFields, n) {
			l = append(l, n, strings.Join(call.Header[n], "\n"))
		}
	}
	return digest(l...)
}

// hash returns the trait that texts identify.
func hash(texts ...string) sardineknot.Trait {
	return sardineknot.Trait(sum(texts).Sum64())
}

// digest returns a short text that identifies texts.
func digest(texts ...string) string { return string(sum(texts).Sum(nil)) }

// sum returns the hash of texts, each followed by a byte that ends it.
func sum(texts []string) *xxhash.Digest {
	d := xxhash.New()
	for _, t := range texts {
		// Writes to a Digest never fail.
		_, _ = io.WriteString(d, t)
		_, _ = d.Write([]byte{0})
	}
	return d
}
