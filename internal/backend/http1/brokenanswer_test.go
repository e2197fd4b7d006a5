package http1_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/http1"
	"sardineknot.example/sardineknot/internal/standin/brokenanswer"
)

const (
	// echoFields are the header lines of an answer to the request with the identifier 2.
	echoFields = "Id: 2\r\n"
	// answerPlays is the number of plays of an answer during a long upload. Which call gets the
	// error of the socket differs between them.
	answerPlays = 10
)

// uploadSizes are the sizes of the bodies of requests that are answered early, in bytes. The
// write of a long one is still in progress then.
func uploadSizes() []int { return []int{1, 100 << 10, 1 << 20, 4 << 20} }

// startAnswering starts a server that answers requests with answer, and those with the
// identifier 1 with a sound answer, after which the connection may be kept.
func startAnswering(t *testing.T, answer brokenanswer.Answer) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	go answer.Serve(l, func(q *http.Request) string {
		if q.Header.Get("Id") != "1" {
			return ""
		}
		return ok("1", "a")
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// play makes the exchange that a server of startAnswering answers with its answer, with a body
// of size bytes, on a kept connection if kept is set and the connection was kept. It returns the
// whole body.
func play(t *testing.T, address netip.AddrPort, kept bool, size int) (string, error) {
	t.Helper()
	c := newClient()
	defer c.CloseIdle()
	if kept {
		_, err := exchange(c, &scriptedServer{address: address}, "1")
		is.New(t).NoErr(err)
	}
	return exchangeSize(c, address, size)
}

// exchangeSize makes an exchange with a body of size bytes and returns the whole body of the
// response.
func exchangeSize(c *http1.Client, address netip.AddrPort, size int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	p, err := c.Exchange(ctx, address, sardineknot.ExchangeRequest{
		Method: http.MethodPost, Target: "/", Host: "h", Header: make(http.Header), Body: make([]byte, size),
		EchoHeader: "Id", EchoValue: "2", KeptConnection: true,
	})
	if err != nil {
		return "", err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return string(b), err
}

// assertBroken checks that err, the error of an exchange, reports that its outcome is unknown,
// and not that the request was not sent or that its time was over.
func assertBroken(t *testing.T, body string, err error) {
	t.Helper()
	var v *sardineknot.UnavailableError
	if !errors.As(err, &v) || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("body %q, error %v", body, err)
	}
}

// TestResetAnswers guards against a part of an answer that counts as the whole one because the
// server resets the connection, whichever call of the host notices the reset.
func TestResetAnswers(t *testing.T) {
	for _, a := range brokenanswer.Resets(echoFields, brokenanswer.Part) {
		for _, n := range uploadSizes() {
			for _, k := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, kept connection: %t", a.Name, n, k), func(t *testing.T) {
					t.Parallel()
					s := startAnswering(t, a)
					for range answerPlays {
						b, err := play(t, s, k, n)
						assertBroken(t, b, err)
					}
				})
			}
		}
	}
}

// TestSoundAnswers guards against a whole answer that counts as broken, because it is odd or
// because the server has answered before it has read the request.
func TestSoundAnswers(t *testing.T) {
	for _, a := range brokenanswer.Sound(echoFields) {
		for _, n := range uploadSizes() {
			for _, k := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, kept connection: %t", a.Name, n, k), func(t *testing.T) {
					t.Parallel()
					s := startAnswering(t, a)
					for range answerPlays {
						b, err := play(t, s, k, n)
						is.New(t).NoErr(err)
						is.New(t).Equal(b, brokenanswer.Whole)
					}
				})
			}
		}
	}
}

// TestBrokenAnswers guards against answers that break the grammar of HTTP and count as answers
// of the server.
func TestBrokenAnswers(t *testing.T) {
	for _, a := range brokenanswer.Broken(echoFields) {
		for _, k := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept connection: %t", a.Name, k), func(t *testing.T) {
				t.Parallel()
				b, err := play(t, startAnswering(t, a), k, 1)
				assertBroken(t, b, err)
			})
		}
	}
}
