package hujson

import "bytes"

// tooDeep returns the offset of the first bracket that nests deeper than
// maxDepth, or -1. It protects the recursive parser and passes over strings
// and comments. What it makes of a text that does not parse has no meaning,
// but no text that nests deeper gets through.
func tooDeep(b []byte) int {
	n := 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			i = endOfString(b, i)
		case '/':
			i = endOfComment(b, i)
		case '{', '[':
			n++
		case '}', ']':
			n--
		}
		if n > maxDepth {
			return i
		}
	}
	return -1
}

// endOfString returns the offset of the quote that ends the string at i.
func endOfString(b []byte, i int) int {
	for i++; i < len(b) && b[i] != '"'; i++ {
		if b[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the offset of the last byte of the comment at i, or i
// if there is none.
func endOfComment(b []byte, i int) int {
	for _, c := range []struct{ start, end string }{{"//", "\n"}, {"/*", "*/"}} {
		if !bytes.HasPrefix(b[i:], []byte(c.start)) {
			continue
		}
		n := bytes.Index(b[i+len(c.start):], []byte(c.end))
		if n < 0 {
			return len(b)
		}
		return i + len(c.start) + n + len(c.end) - 1
	}
	return i
}
