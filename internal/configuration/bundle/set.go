// Package bundle splits a compiled configuration into bundles of bounded size
// and merges them again.
//
// Contracts and backend servers are partitioned into a fixed number of bundles
// by a hash of their names, so that changing one of them changes one bundle.
// The content of a bundle is the JSON form of a Configuration that holds only
// the contracts, backend servers or links of that bundle.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/codec"
)

const (
	// contractBundles is the number of bundles that contracts are partitioned
	// into.
	contractBundles = 256
	// backendBundles is the number of bundles that backend servers are
	// partitioned into.
	backendBundles = 64
)

// Set holds the contents of bundles by their hashes.
type Set map[string][]byte

// Split returns the bundles of c and the references to them, ordered by name.
// The revision of c is not stored in any bundle. Split fails with an
// InvalidError if a bundle exceeds MaxStoreValueBytes.
func Split(c *sardineknot.Configuration) (Set, []sardineknot.BundleReference, error) {
	m := make(map[string]*sardineknot.Configuration)
	for _, k := range c.Contracts {
		p := partFor(m, "contracts", string(k.Account), contractBundles)
		p.Contracts = append(p.Contracts, k)
	}
	for _, b := range c.BackendServers {
		p := partFor(m, "backends", string(b.Name), backendBundles)
		p.BackendServers = append(p.BackendServers, b)
	}
	if len(c.Links) > 0 {
		m["links"] = &sardineknot.Configuration{Links: c.Links}
	}
	s := make(Set, len(m))
	var l []sardineknot.BundleReference
	for n, p := range m {
		r, err := s.add(n, p)
		if err != nil {
			return nil, nil, err
		}
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b sardineknot.BundleReference) int { return strings.Compare(a.Name, b.Name) })
	return s, l, nil
}

// Join returns the configuration that h references, with its revision. It fails
// with an UnknownError if s lacks a bundle, and with an InvalidError if the
// content of a bundle does not match its hash.
func (s Set) Join(h sardineknot.ConfigurationHead) (*sardineknot.Configuration, error) {
	l := make([]*sardineknot.Configuration, 0, len(h.Bundles))
	for _, r := range h.Bundles {
		p, err := s.Part(r)
		if err != nil {
			return nil, err
		}
		l = append(l, p)
	}
	return Merge(h.Revision, l), nil
}

// Merge returns the configuration of revision v that consists of the given
// parts.
func Merge(v sardineknot.Revision, parts []*sardineknot.Configuration) *sardineknot.Configuration {
	c := &sardineknot.Configuration{Revision: v}
	for _, p := range parts {
		c.Contracts = append(c.Contracts, p.Contracts...)
		c.BackendServers = append(c.BackendServers, p.BackendServers...)
		c.Links = append(c.Links, p.Links...)
	}
	slices.SortFunc(c.Contracts, func(a, b sardineknot.Contract) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	slices.SortFunc(c.BackendServers, func(a, b sardineknot.BackendServer) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return c
}

// Hash returns the hash by which references identify the content b.
func Hash(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}

// add encodes p, adds it to s and returns the reference to it under the given
// name.
func (s Set) add(name string, p *sardineknot.Configuration) (sardineknot.BundleReference, error) {
	b, err := codec.Encode(p)
	if err != nil {
		return sardineknot.BundleReference{}, err
	}
	if len(b) > sardineknot.MaxStoreValueBytes {
		return sardineknot.BundleReference{}, errors.WithStack(&sardineknot.InvalidError{What: "bundle " + name, Got: fmt.Sprint(len(b), " bytes"), Expected: "at most 1 MiB"})
	}
	h := Hash(b)
	s[h] = b
	return sardineknot.BundleReference{Name: name, Hash: h}, nil
}

// Part returns the decoded content of the bundle that r references. It fails as
// Join does.
func (s Set) Part(r sardineknot.BundleReference) (*sardineknot.Configuration, error) {
	b, ok := s[r.Hash]
	if !ok {
		return nil, errors.WithStack(&sardineknot.UnknownError{What: "bundle", Name: r.Name + " " + r.Hash})
	}
	if h := Hash(b); h != r.Hash {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "bundle " + r.Name, Got: h, Expected: r.Hash})
	}
	return codec.Decode(b)
}

// partFor returns the part of m that holds the item of the given kind and name.
// It adds the part if it is missing. n is the number of bundles of the kind.
func partFor(m map[string]*sardineknot.Configuration, kind, name string, n uint64) *sardineknot.Configuration {
	k := fmt.Sprintf("%s-%03d", kind, xxhash.Sum64String(name)%n)
	if m[k] == nil {
		m[k] = &sardineknot.Configuration{}
	}
	return m[k]
}
