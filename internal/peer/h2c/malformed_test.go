package h2c_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot/internal/peer/h2c"
)

// Frames of HTTP/2 (RFC 9113, section 6) that a malformedHost reads and sends.
const (
	frameHead    = 9 // bytes
	frameData    = 0
	frameHeaders = 1
	frameSetting = 4
	// flagEnd ends a stream, or acknowledges settings. flagEndHeaders ends a header.
	flagEnd        = 1
	flagEndHeaders = 4
)

// preface is what a client of HTTP/2 sends first.
const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// malformedHost is the other end of a connection between hosts, which answers each call with
// one header.
type malformedHost struct {
	// header is the header of the answers, in the encoding of RFC 7541.
	header []byte
}

// start serves until the end of the test and returns the URL.
func (m *malformedHost) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return "http://" + l.Addr().String()
}

// serve answers the calls on c.
func (m *malformedHost) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	_, err := io.CopyN(io.Discard, r, int64(len(preface)))
	writeFrame(c, frameSetting, 0, 0, nil)
	for err == nil {
		h := make([]byte, frameHead)
		_, err = io.ReadFull(r, h)
		if err != nil {
			return
		}
		_, err = io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(h)>>8))
		s := binary.BigEndian.Uint32(h[5:])
		switch {
		case h[3] == frameSetting && h[4]&flagEnd == 0:
			writeFrame(c, frameSetting, flagEnd, 0, nil)
		case h[3] == frameHeaders:
			writeFrame(c, frameHeaders, flagEndHeaders, s, m.header)
			writeFrame(c, frameData, flagEnd, s, []byte("part"))
		}
	}
}

// writeFrame writes a frame of the given kind to w.
func writeFrame(w io.Writer, kind, flags byte, stream uint32, payload []byte) {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	b = append(b, flags)
	b = binary.BigEndian.AppendUint32(b, stream)
	_, _ = w.Write(append(b, payload...))
}

// field returns a field that is not indexed.
func field(name, value string) []byte {
	return fmt.Appendf(nil, "\x00%c%s%c%s", len(name), name, len(value), value)
}

// call makes a call to base and returns the status and the body.
func call(t *testing.T, base string) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base, nil)
	is.New(t).NoErr(err)
	p, err := h2c.NewTransport(metrics.NewRegistry()).Client().Do(r)
	if err != nil {
		return 0, "", err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return p.StatusCode, string(b), err
}

// TestMalformedHeader guards against headers of other hosts that break the grammar and count as
// answers with status 200, which is the only one that calls between hosts and tunnels accept.
func TestMalformedHeader(t *testing.T) {
	ok := field(":status", "200")
	t.Run("a sound header", func(t *testing.T) {
		s, b, err := call(t, (&malformedHost{header: slices.Concat(ok, field("a", "b"))}).start(t))
		is.New(t).NoErr(err)
		is.New(t).Equal(fmt.Sprint(s, b), "200part")
	})
	for _, s := range []string{"", "0", "000", "001", "099", "100", "101", "103", "199", "20", "2000", "+20", "2x0", " 200", "200 ", "600", "999"} {
		t.Run(fmt.Sprintf("status %q", s), func(t *testing.T) {
			t.Parallel()
			n, _, err := call(t, (&malformedHost{header: field(":status", s)}).start(t))
			is.New(t).True(err != nil || n != http.StatusOK)
		})
	}
	for _, n := range []string{"", "a b", "a ", " a", "a\tb", "a\x00b", "a\r", "a\nb", "A", "a:b", "content-length "} {
		t.Run(fmt.Sprintf("name %q", n), func(t *testing.T) {
			t.Parallel()
			_, b, err := call(t, (&malformedHost{header: slices.Concat(ok, field(n, "1"))}).start(t))
			is.New(t).True(err != nil)
			is.New(t).Equal(b, "")
		})
	}
	t.Run("no status, and another length", func(t *testing.T) {
		_, _, err := call(t, (&malformedHost{header: field("a", "b")}).start(t))
		is.New(t).True(err != nil)
		_, _, err = call(t, (&malformedHost{header: slices.Concat(ok, field("content-length", "5"))}).start(t))
		is.New(t).True(err != nil)
	})
}
