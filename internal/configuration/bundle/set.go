// Package bundle splits a compiled configuration into bundles of bounded size
// and puts them together again.
//
// Contracts and backend servers are spread over a fixed number of bundles by a
// hash of their names, so that a change of one moves one bundle. A bundle is
// the JSON form of a Configuration that holds its part only.
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
	contractBundles = 256
	backendBundles  = 64
)

// Set holds the content of bundles by hash.
type Set map[string][]byte

// Split returns the bundles of c and the references to them. The revision of c
// is not part of any bundle. It fails with an InvalidError if a bundle is
// longer than a value of the store.
func Split(c *sardineknot.Configuration) (Set, []sardineknot.BundleReference, error) {
	m := make(map[string]*sardineknot.Configuration)
	for _, k := range c.Contracts {
		p := part(m, "contracts", string(k.Account), contractBundles)
		p.Contracts = append(p.Contracts, k)
	}
	for _, b := range c.BackendServers {
		p := part(m, "backends", string(b.Name), backendBundles)
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

// Join returns the configuration that h names, with its revision. It fails
// with an UnknownError if s lacks a bundle and with an InvalidError if the
// content of a bundle does not have its hash.
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

// Merge returns the configuration of revision v that has the given parts.
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

// Hash returns the hash that references use for the content b.
func Hash(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}

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

// Part returns the part of a configuration in the bundle r. It fails as Join
// does.
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

// part returns the part of m that the item of that name belongs to.
func part(m map[string]*sardineknot.Configuration, kind, name string, n uint64) *sardineknot.Configuration {
	k := fmt.Sprintf("%s-%03d", kind, xxhash.Sum64String(name)%n)
	if m[k] == nil {
		m[k] = &sardineknot.Configuration{}
	}
	return m[k]
}
