package brokenanswer

import (
	"fmt"
	"strings"
	"time"
)

// resetWait is the time between a whole answer and the reset of its connection.
const resetWait = 2 * time.Millisecond

// Sound returns answers that are whole although they are odd. Their bodies are Whole. fields
// has the same meaning as for Broken.
func Sound(fields string) []Answer {
	var l []Answer
	n := length(Whole)
	for _, f := range []form{
		{"no length", "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + Whole},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + "\r\n" + Whole},
		{"HTTP/1.0 and a length", "HTTP/1.0 200 OK\r\n" + fields + n + "\r\n" + Whole},
		{"a length", "HTTP/1.1 200 OK\r\n" + fields + n + "\r\n" + Whole},
		{"two equal lengths", "HTTP/1.1 200 OK\r\n" + fields + n + n + "\r\n" + Whole},
		{"chunks", "HTTP/1.1 200 OK\r\n" + fields + "transfer-encoding: Chunked\r\n\r\n5;a=b\r\n" + Whole + "\r\n0\r\nA: b\r\n\r\n"},
		{"no reason", "HTTP/1.1 200 \r\n" + fields + n + "\r\n" + Whole},
		{"no blank and reason", "HTTP/1.1 200\r\n" + fields + n + "\r\n" + Whole},
		{"a later version", "HTTP/1.2 200 OK\r\n" + fields + n + "\r\n" + Whole},
		{"bytes above 127", "HTTP/1.1 200 \xc3\xa9\r\n" + fields + "A: \xe9\r\n" + n + "\r\n" + Whole},
		{"blanks around a value", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length:\t 5 \t\r\nA:\r\nB:  \r\nC: d\te \r\n\r\n" + Whole},
		{"all bytes of names", "HTTP/1.1 200 OK\r\n" + fields + "!#$%&'*+-.^_`|~09azAZ: :;\r\n" + n + "\r\n" + Whole},
		{"lines that end by LF", "HTTP/1.1 200 OK\n" + strings.ReplaceAll(fields, "\r\n", "\n") + "A: b\n" + "Content-Length: 5\n\n" + Whole},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + n + "\r\n" + Whole},
		{"an unknown interim", "HTTP/1.1 199 Later\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + n + "\r\n" + Whole},
	} {
		for _, e := range []bool{false, true} {
			l = append(l, Answer{Name: fmt.Sprintf("%s, early: %t", f.name, e), Text: f.text, Early: e})
		}
	}
	// The framing shows that these are whole, also if the connection is reset after them.
	for _, f := range []form{
		{"a length", "HTTP/1.1 200 OK\r\n" + fields + n + "\r\n" + Whole},
		{"chunks", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked(Whole)},
	} {
		for _, w := range []time.Duration{0, resetWait} {
			for _, e := range []bool{false, true} {
				l = append(l, Answer{Name: fmt.Sprintf("%s, reset after %v, early: %t", f.name, w, e), Text: f.text, Early: e, Reset: true, Wait: w})
			}
		}
	}
	return l
}
