package brokenanswer

import (
	"fmt"
	"strconv"
)

// Heads returns answers whose heads break the grammar of HTTP/1.1, or leave open how the body
// ends. part is their body.
func Heads(fields, part string) []Answer {
	var l []Answer
	n, c := length(part), chunked(part)
	for _, s := range statusLines() {
		l = append(l, Answer{Name: strconv.Quote(s), Text: s + "\r\n" + fields + n + "\r\n" + part})
	}
	for _, f := range fieldLines() {
		l = append(l, Answer{Name: "a line " + strconv.Quote(f), Text: "HTTP/1.1 200 OK\r\n" + fields + f + "\r\n" + n + "\r\n" + part})
	}
	for _, f := range framings() {
		l = append(l, Answer{Name: "framing " + strconv.Quote(f), Text: "HTTP/1.1 200 OK\r\n" + fields + f + "\r\n\r\n" + c})
	}
	e := "HTTP/1.1 200 OK\r\n" + fields + n + "\r\n" + part // a client may take it for the answer
	return append(
		l,
		Answer{Name: "an empty line first", Text: "\r\nHTTP/1.1 200 OK\r\n" + fields + n + "\r\n" + part},
		Answer{Name: "chunks in HTTP/1.0", Text: "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + c},
		Answer{Name: "an answer after status 000", Text: "HTTP/1.1 000 None\r\n" + fields + "\r\n" + e},
		Answer{Name: "an answer as the body of status 000", Text: "HTTP/1.1 000 None\r\n" + fields + "Content-Length: " + strconv.Itoa(len(e)) + "\r\n\r\n" + e},
		Answer{Name: "an answer as the body of an interim one", Text: "HTTP/1.1 103 Early Hints\r\nContent-Length: " + strconv.Itoa(len(e)) + "\r\n\r\n" + e},
		Answer{Name: "an answer in the chunk of an interim one", Text: "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + e},
		Answer{Name: "an answer after a change of protocols", Text: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + e},
		Answer{Name: "an interim answer with a control byte", Text: "HTTP/1.1 103 Early Hints\r\nA\x01: b\r\n\r\n" + e},
	)
}

// statusLines returns lines that are no status line of HTTP/1.x with a status of a final answer.
func statusLines() []string {
	l := []string{
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1  200 OK",
		"HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK", "http/1.1 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
		"HTTP/1.10 200 OK", "HTTP/1 200 OK", "HTTP/01.1 200 OK", "HTTP/1.1200 OK", "HTTP/1.1", "HTTP/1.1 ", "ICY 200 OK", "200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 O\x1bK", "HTTP/1.1 200 O\x7fK",
	}
	for _, s := range []int{0, 1, 99, 101, 600, 999} {
		l = append(l, fmt.Sprintf("HTTP/1.1 %03d None", s))
	}
	return l
}

// fieldLines returns lines that are no field lines.
func fieldLines() []string {
	return []string{
		"A b: c", "A : b", "A\t: b", " A: b", "\tA: b", "A\x00b: c", "A\x01: b", "\x7fA: b", "A\rb: c", "A(b): c", "A,b: c", "A\xe9: b", ": a", ":", "A", "A;b",
		"Content-Length : 1", "Content-Length\t: 1", " Content-Length: 1", "\tContent-Length: 1", "Content Length: 1",
		"Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked", " Transfer-Encoding: chunked", "\x0bTransfer-Encoding: chunked",
		"A: b\x00c", "A: b\rc", "A: b\r", "A: \x01", "A: b\x7f", "A: b\x0bc", "A: b\r\n c", " ", "\r",
		"A\nb: c", "\nA: b", "A: b\n", "A: b\nC: d", "\n",
	}
}

// framings returns field lines that leave open how the body ends.
func framings() []string {
	return []string{
		"Content-Length : 14", "Content-Length\t: 14", "Content Length: 14", "Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked",
		"A: b\r\n Content-Length: 14", "A: b\r\n\tTransfer-Encoding: chunked", "Content-Length:\r\n 14", "Transfer-Encoding:\r\n chunked",
		"Content-Length: 14\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 14",
		"Content-Length: 3\r\nContent-Length: 4", "Content-Length: 3, 4", "Content-Length: 4, 4", "Content-Length: +4", "Content-Length: -4", "Content-Length: 0x4",
		"Content-Length: 4 4", "Content-Length: 4;", "Content-Length: four", "Content-Length:", "Content-Length: 99999999999999999999",
		"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: identity", "Transfer-Encoding: xchunked",
		"Transfer-Encoding: chunked;a=b", "Transfer-Encoding:", "Transfer-Encoding: gzip", "Transfer-Encoding: \"chunked\"",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
	}
}

// length returns the header line that states the length of body.
func length(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n" }

// chunked returns body as one chunk and the end of the chunks.
func chunked(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }

// FieldName returns the answer whose head has a field with the given name, and that is sound
// otherwise.
func FieldName(fields, name string) Answer {
	return Answer{Name: strconv.Quote(name), Text: "HTTP/1.1 200 OK\r\n" + fields + name + ": c\r\n" + length(Whole) + "\r\n" + Whole}
}

// Status returns the answer with the given status, and the one in which the head alone precedes
// a sound answer.
func Status(fields string, status int) (single, before Answer) {
	h := fmt.Sprintf("HTTP/1.1 %03d Status\r\n", status)
	single = Answer{Name: fmt.Sprintf("status %03d", status), Text: h + fields + length(Part) + "\r\n" + Part}
	before = Answer{Name: fmt.Sprintf("status %03d before an answer", status), Text: h + "\r\nHTTP/1.1 200 OK\r\n" + fields + length(Whole) + "\r\n" + Whole}
	return single, before
}
