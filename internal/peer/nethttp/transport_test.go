package nethttp_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/peer/nethttp"
	"sardineknot.example/sardineknot/internal/standin/brokenanswer"
)

// answerPlays is the number of plays of an answer. Which call gets the error of the socket differs
// between them.
const answerPlays = 5

// callTimeout bounds a call. No answer of a test takes as long.
const callTimeout = 5 * time.Second

// startAnswering starts a server that answers with answer, and requests to /sound with a sound
// answer.
func startAnswering(t *testing.T, answer brokenanswer.Answer) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	go answer.Serve(l, func(q *http.Request) string {
		if q.URL.Path != "/sound" {
			return ""
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// post makes a request with a body of size bytes and returns the whole body of the response.
func post(transport http.RoundTripper, address netip.AddrPort, path string, size int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	p, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return string(b), err
}

// play plays answer to a request with a body of size bytes, after a sound one that lets the
// connection be kept if kept is set.
func play(t *testing.T, answer brokenanswer.Answer, size int, kept bool) (string, error) {
	t.Helper()
	x := nethttp.NewTransport(&http.Transport{})
	defer x.CloseIdleConnections()
	s := startAnswering(t, answer)
	if kept {
		_, err := post(x, s, "/sound", 1)
		is.New(t).NoErr(err)
	}
	return post(x, s, "/", size)
}

// eachPlay calls check with the result of each play of answers.
func eachPlay(t *testing.T, answers []brokenanswer.Answer, check func(t *testing.T, body string, err error)) {
	for _, a := range answers {
		for _, n := range []int{1, 4 << 20} {
			for _, k := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, kept connection: %t", a.Name, n, k), func(t *testing.T) {
					t.Parallel()
					for range answerPlays {
						b, err := play(t, a, n, k)
						check(t, b, err)
					}
				})
			}
		}
	}
}

// TestBrokenAnswers guards against broken answers that net/http takes for whole ones.
func TestBrokenAnswers(t *testing.T) {
	eachPlay(t, brokenanswer.Broken(""), func(t *testing.T, body string, err error) {
		if err == nil {
			t.Errorf("body %q", body)
		}
	})
}

// TestSoundAnswers guards against whole answers that are odd and count as broken. net/http may
// report a write that a reset has ended before it has read the answer.
func TestSoundAnswers(t *testing.T) {
	var l []brokenanswer.Answer
	for _, a := range brokenanswer.Sound("") {
		if !a.Reset || !a.Early {
			l = append(l, a)
		}
	}
	eachPlay(t, l, func(t *testing.T, body string, err error) {
		is.New(t).NoErr(err)
		is.New(t).Equal(body, brokenanswer.Whole)
	})
}
