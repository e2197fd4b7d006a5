package brokenanswer

import (
	"fmt"
	"strconv"
	"time"
)

// Broken returns all broken answers. fields holds the header lines of a sound answer, each with
// its line end.
func Broken(fields string) []Answer {
	l := Resets(fields, Part)
	l = append(l, Heads(fields, Part)...)
	return append(l, chunks(fields)...)
}

// Resets returns answers of each framing during which the server resets the connection, before
// and after it has read the body of the request. part is what it sends of their bodies.
func Resets(fields, part string) []Answer {
	var l []Answer
	for _, f := range []form{
		{"no length", "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + part},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + "\r\n" + part},
		{"a length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + strconv.Itoa(len(part)+1) + "\r\n\r\n" + part},
		{"chunks", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(part)), 16) + "\r\n" + part},
		{"a part of a head", "HTTP/1.1 200 OK\r\n" + fields},
		{"an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "\r\n" + part},
	} {
		for _, w := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
			for _, e := range []bool{false, true} {
				l = append(l, Answer{Name: fmt.Sprintf("%s, reset after %v, early: %t", f.name, w, e), Text: f.text, Early: e, Reset: true, Wait: w})
			}
		}
	}
	return l
}

// chunks returns answers whose chunks break the grammar or end too soon.
func chunks(fields string) []Answer {
	var l []Answer
	for _, s := range []string{
		"", "4", "4\r\n", "4\r\n" + Part, "4\r\n" + Part + "\r\n", "4\r\n" + Part + "\r\n0", "4\r\n" + Part + "\r\n0\r\n", "4\r\n" + Part + "\r\n0\r\nA: b\r\n",
		"0x4\r\n" + Part + "\r\n0\r\n\r\n", "-4\r\n" + Part + "\r\n0\r\n\r\n", "+4\r\n" + Part + "\r\n0\r\n\r\n", "\r\n" + Part + "\r\n0\r\n\r\n",
		"5\r\n" + Part + "\r\n0\r\n\r\n", "3\r\n" + Part + "\r\n0\r\n\r\n", "4\n" + Part + "\r\n0\r\n\r\n", "4\r\n" + Part + "\n0\r\n\r\n", "4\r" + Part + "\r\n0\r\n\r\n",
		"4 4\r\n" + Part + "\r\n0\r\n\r\n", "fffffffffffffffff\r\n" + Part, "7fffffffffffffff\r\n" + Part, "4\r\n" + Part + "\r\n0\r\nno field\r\n\r\n",
	} {
		l = append(l, Answer{Name: "chunks " + strconv.Quote(s), Text: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + s})
	}
	return l
}
