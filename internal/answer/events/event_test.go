package events

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot/internal/backend/memory"
)

// FuzzReadEvent guards against bytes of a stream that are lost, duplicated or
// changed, against a part of an event that passes for a whole one, and against
// memory that an event keeps after it was read.
func FuzzReadEvent(f *testing.F) {
	for _, s := range []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id:7\r\ndata: a\r\n\r\n", "\n\n\n", ": c\n", "data", "id: x\n\nid: -1\n\n", "id: 99999999999999999999\n\n", "\x00\xff\n\n"} {
		f.Add([]byte(s))
	}
	f.Add(bytes.Repeat([]byte("x"), 3*readBytes))
	f.Fuzz(func(t *testing.T, stream []byte) {
		m := &memory.Budget{Bytes: 1 << 20}
		r := bufio.NewReaderSize(bytes.NewReader(stream), readBytes)
		var b []byte
		for {
			e, err := readEvent(r, m)
			if err != nil {
				if !errors.Is(err, errTruncated) && len(stream) < maxEventBytes/growthFactor {
					t.Fatal(err)
				}
				break
			}
			if e.end {
				b = append(b, e.text...)
				if !bytes.Equal(b, stream) {
					t.Fatal("a whole stream differs from its events")
				}
				break
			}
			if !bytes.HasSuffix(e.text, []byte("\n")) {
				t.Fatalf("event %q is not whole", e.text)
			}
			b = append(b, e.text...)
		}
		if !bytes.HasPrefix(stream, b) {
			t.Fatal("the events differ from the stream")
		}
		var held int64
		if !m.Grow(&held, 1<<20) {
			t.Fatal("memory is still held")
		}
	})
}

// TestComments guards against a server whose stream stalls and that sends comments
// or empty lines: if they counted as events, no other engine would continue the stream.
func TestComments(t *testing.T) {
	is := is.New(t)
	const before, after = ": a\n\n\n:\n\n", ": z\n\n"
	const one = "id: 1\ndata: x\n\n"
	m := &memory.Budget{Bytes: 1 << 20}
	r := bufio.NewReader(strings.NewReader(before + one + after))
	e, err := readEvent(r, m)
	is.NoErr(err)
	is.Equal(string(e.text), before+one)
	is.Equal(e.id, 1)
	e, err = readEvent(r, m)
	is.NoErr(err)
	is.True(e.end)
	is.Equal(string(e.text), after)
	for _, s := range []string{": c\n", ": c", ":\n\n: c\n", "\n\nid: 1\n"} {
		_, err = readEvent(bufio.NewReader(strings.NewReader(s)), m)
		is.True(errors.Is(err, errTruncated))
	}
}
