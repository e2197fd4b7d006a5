package patch_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/patch"
)

// checkApplies checks that the patch from base to value makes value, and returns its length.
func checkApplies(is *is.I, value, base []byte) int {
	is.Helper()
	p, err := patch.New(value, base)
	is.NoErr(err)
	v, err := p.Apply(base)
	is.NoErr(err)
	is.True(bytes.Equal(v, value))
	return len(p.Data)
}

// newRoutes returns a text with count lines that look like routes.
func newRoutes(count int) []byte {
	r := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for range count {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"%x.example","prefix":"/%x/","kind":"unsafe","timeoutMs":800},`, r.Uint32(), r.Uint32(), r.Uint32())
	}
	return b.Bytes()
}

// TestPatch guards against values that differ between hosts because one is made from another.
func TestPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "base")
		value := append(bytes.Clone(base[:rapid.IntRange(0, len(base)).Draw(t, "common")]), rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "added")...)
		checkApplies(is.New(t), value, base)
	})
}

// TestPatchSize guards against small changes of a large value that cost as much as the value.
func TestPatchSize(t *testing.T) {
	l := newRoutes(1500)
	other := bytes.Clone(l)
	copy(other[len(l)/2:], "changed")
	random := make([]byte, sardineknot.MaxStoreValueBytes)
	for i := range random {
		random[i] = byte(i * i >> 3)
	}
	t.Run("a compressed value", func(t *testing.T) {
		is := is.New(t)
		is.True(checkApplies(is, l, nil) < len(l)/4)
	})
	t.Run("a small change", func(t *testing.T) {
		is := is.New(t)
		is.True(checkApplies(is, other, l) < 500)
	})
	t.Run("a removed beginning", func(t *testing.T) {
		is := is.New(t)
		is.True(checkApplies(is, l[len(l)/3:], l) < 500)
	})
	t.Run("the longest value", func(t *testing.T) {
		is := is.New(t)
		v := append([]byte("x"), random[1:]...)
		is.True(checkApplies(is, v, random) < 5000)
	})
}

// TestMalformedPatch guards against a patch of another base, or a broken one, that makes a
// wrong value or ends the process.
func TestMalformedPatch(t *testing.T) {
	check := func(p patch.Patch, base []byte) {
		t.Helper()
		_, err := p.Apply(base)
		var i *sardineknot.InvalidError
		if !errors.As(err, &i) {
			t.Errorf("the patch of %d bytes is applied with the error %v", len(p.Data), err)
		}
	}
	base := newRoutes(100)
	p, err := patch.New(newRoutes(101), base)
	is.New(t).NoErr(err)
	check(p, nil)
	check(p, base[:len(base)-1])
	check(patch.Patch{Data: p.Data[:len(p.Data)/2], Size: p.Size, Digest: p.Digest}, base)
	check(patch.Patch{Size: p.Size, Digest: p.Digest}, base)
	check(patch.Patch{Data: []byte("x"), Size: 1}, nil)
	large, err := patch.New(make([]byte, 16<<20), nil)
	is.New(t).NoErr(err)
	check(large, nil)
}
