package responsehead_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/responsehead"
	"sardineknot.example/sardineknot/internal/standin/brokenanswer"
)

// source is a connection whose bytes come from a reader.
type source struct {
	net.Conn
	io.Reader
}

func (s source) Read(b []byte) (int, error) { return s.Reader.Read(b) }

// isMalformed reports whether err reports a malformed head.
func isMalformed(err error) bool {
	var m *sardineknot.MalformedHeadError
	return errors.As(err, &m)
}

// readAll reads text through a Conn, as the response to one request.
func readAll(t *testing.T, reader io.Reader) (string, error) {
	t.Helper()
	c := responsehead.NewConn(source{Reader: reader})
	is.New(t).NoErr(c.Begin(nil))
	b, err := io.ReadAll(c)
	return string(b), err
}

// TestPieces guards against heads whose check depends on how the bytes arrive, and against the
// end of a malformed head that reaches the reader.
func TestPieces(t *testing.T) {
	for _, a := range brokenanswer.Heads("", brokenanswer.Part) {
		t.Run(a.Name, func(t *testing.T) {
			whole, err := readAll(t, strings.NewReader(a.Text))
			is.New(t).True(isMalformed(err))
			is.New(t).True(strings.HasPrefix(a.Text, whole) && !strings.HasSuffix(whole, "\r\n\r\n"))
			byBytes, err := readAll(t, iotest.OneByteReader(strings.NewReader(a.Text)))
			is.New(t).True(isMalformed(err))
			is.New(t).True(strings.HasPrefix(byBytes, whole) && !strings.HasSuffix(byBytes, "\r\n\r\n"))
		})
	}
	for _, a := range brokenanswer.Sound("A: b\r\n") {
		t.Run(a.Name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(a.Text), iotest.OneByteReader(strings.NewReader(a.Text))} {
				b, err := readAll(t, r)
				is.New(t).NoErr(err)
				is.New(t).Equal(b, a.Text)
			}
		})
	}
}

// TestBegin guards against a head after the first one that is not checked.
func TestBegin(t *testing.T) {
	const sound, broken = "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n"
	t.Run("no head is checked before Begin, and after the end of a head", func(t *testing.T) {
		c := responsehead.NewConn(source{Reader: strings.NewReader(broken)})
		_, err := io.ReadAll(c)
		is.New(t).NoErr(err)
		_, err = readAll(t, strings.NewReader(sound+broken))
		is.New(t).NoErr(err)
	})
	t.Run("bytes that were read before it", func(t *testing.T) {
		c := responsehead.NewConn(source{Reader: strings.NewReader(sound)})
		is.New(t).NoErr(c.Begin([]byte(sound)))
		is.New(t).True(isMalformed(c.Begin([]byte(broken))))
		_, err := c.Read(make([]byte, 1))
		is.New(t).True(isMalformed(err))
		is.New(t).True(isMalformed(c.Begin(nil)))
	})
	t.Run("a head that began before it", func(t *testing.T) {
		c := responsehead.NewConn(source{Reader: strings.NewReader(broken[20:])})
		is.New(t).NoErr(c.Begin([]byte(broken[:20])))
		_, err := io.ReadAll(c)
		is.New(t).True(isMalformed(err))
	})
	t.Run("a head without an end", func(t *testing.T) {
		_, err := readAll(t, io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"), strings.NewReader(strings.Repeat("A: b\r\n", 20<<10))))
		is.New(t).True(isMalformed(err))
	})
}
