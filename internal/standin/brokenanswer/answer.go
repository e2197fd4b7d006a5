// Package brokenanswer lists broken answers that a faulty backend server may send, and unusual
// answers that are sound. Tests, fuzz targets and soaks share the lists, so that each of them
// covers every case.
//
// A client must report a broken answer as an error, and never pass on any part of its body as a
// complete one.
package brokenanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// Part is the body of a broken answer, or the part of it that the server sends.
	Part = "part"
	// Whole is the body of a sound answer.
	Whole = "whole"
)

// Answer is an answer to one request.
type Answer struct {
	// Name describes the answer. It is unique in its list.
	Name string
	// Text is all that the server sends.
	Text string
	// Early is set if the server answers before it has read the body of the request.
	Early bool
	// Reset is set if the server resets the connection after Text. Otherwise it ends the
	// connection in an orderly way.
	Reset bool
	// Wait is the time between Text and the end of the connection.
	Wait time.Duration
}

// Send sends a on connection, which should be a TCP connection, and closes it. Unless a is early,
// the body of the request must have been read.
func (a Answer) Send(connection net.Conn) {
	defer connection.Close()
	// The write fails if the client has already closed the connection.
	_, _ = io.WriteString(connection, a.Text)
	time.Sleep(a.Wait)
	t, ok := connection.(*net.TCPConn)
	switch {
	case !ok:
	case a.Reset:
		_ = t.SetLinger(0)
	case a.Early:
		// Closing a connection with unread bytes would reset it.
		_ = t.CloseWrite()
		_, _ = io.Copy(io.Discard, t)
	}
}

// Serve answers the requests on all connections of listener until it is closed: with the text
// that sound returns, which keeps the connection, or with a if that is empty.
func (a Answer) Serve(listener net.Listener, sound func(*http.Request) string) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go a.serveConn(c, sound)
	}
}

// serveConn answers the requests on connection.
func (a Answer) serveConn(connection net.Conn, sound func(*http.Request) string) {
	defer connection.Close()
	r := bufio.NewReader(connection)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s := sound(q)
		if s != "" || !a.Early {
			_, _ = io.Copy(io.Discard, q.Body)
		}
		if s == "" {
			a.Send(connection)
			return
		}
		_, _ = io.WriteString(connection, s)
	}
}

// form is the text of an answer, which does not depend on when and how the server sends it.
type form struct{ name, text string }
