package hujson

import "bytes"

// findExcessDepth returns the offset of the first bracket that is nested deeper
// than maxDepth, or -1 if there is none. It skips strings and comments. The
// parser is recursive, so the check bounds the depth of its stack. The offset
// is reliable only in a text without syntax errors, but every text in which the
// parser would recurse deeper than maxDepth is rejected.
func findExcessDepth(text []byte) int {
	n := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
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

// endOfString returns the offset of the quote that ends the string at start, or
// an offset past the end of text if the string is unterminated.
func endOfString(text []byte, start int) int {
	for start++; start < len(text) && text[start] != '"'; start++ {
		if text[start] == '\\' {
			start++
		}
	}
	return start
}

// endOfComment returns the offset of the last byte of the comment at begin. It
// returns begin if there is no comment, and len(text) if the comment is
// unterminated.
func endOfComment(text []byte, begin int) int {
	for _, c := range []struct{ start, end string }{{"//", "\n"}, {"/*", "*/"}} {
		if !bytes.HasPrefix(text[begin:], []byte(c.start)) {
			continue
		}
		n := bytes.Index(text[begin+len(c.start):], []byte(c.end))
		if n < 0 {
			return len(text)
		}
		return begin + len(c.start) + n + len(c.end) - 1
	}
	return begin
}
