// Package patch encodes the values of the platform's key-value service for hosts that may
// have an earlier value of the same key.
//
// A patch is a Zstandard frame. If the receiver has an earlier value, the frame refers to it
// as a dictionary and is about as long as what has changed. Otherwise it is the compressed
// value.
package patch

import (
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// windowBytes is the distance over which a frame refers to what came before: a base
	// and a value, each of the maximum length.
	windowBytes = 2 * sardineknot.MaxStoreValueBytes
	// dictionaryID marks frames that need their base.
	dictionaryID = 1
)

// Patch is a value in encoded form.
type Patch struct {
	// Data is the Zstandard frame, and DataDigest the result of Digest for it.
	Data       []byte
	DataDigest uint64
	// Size is the length of the value, and Digest the result of Digest for it.
	Size   int
	Digest uint64
}

// Digest returns the digest by which values are compared.
func Digest(value []byte) uint64 { return xxhash.Sum64(value) }

// New returns the patch that makes value from base, which is an earlier value of the same key
// or empty.
func New(value, base []byte) (Patch, error) {
	o := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false),
	}
	if len(base) > 0 {
		o = append(o, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, o...)
	if err != nil {
		return Patch{}, errors.WithStack(err)
	}
	d := e.EncodeAll(value, nil)
	return Patch{Data: d, DataDigest: Digest(d), Size: len(value), Digest: Digest(value)}, nil
}

// Apply returns the value that p makes from base. It fails with an InvalidError if p was not
// made for base, or is malformed. It does not need DataDigest.
func (p Patch) Apply(base []byte) ([]byte, error) {
	o := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(windowBytes), zstd.WithDecoderMaxWindow(windowBytes),
	}
	if len(base) > 0 {
		o = append(o, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, o...)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer d.Close()
	v, err := d.DecodeAll(p.Data, nil)
	if err != nil {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "patch", Got: err.Error(), Expected: "a Zstandard frame for the base"})
	}
	if len(v) != p.Size || Digest(v) != p.Digest {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "patch", Got: "another value", Expected: "the value of the stated digest"})
	}
	return v, nil
}
