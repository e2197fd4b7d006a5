// Package rewrite compares a stored JSON value with the one that it replaces, without
// decoding either. Backend servers write their entries all the time, mostly with no
// other change than that of a counter.
package rewrite

import "bytes"

// maxDigits is the number of digits with which every number fits into an int64.
const maxDigits = 18

// OnlyCounted reports whether next differs from previous, which must be a JSON object,
// in nothing but the digits of one member called field, whose value is an integer that
// is not negative. A decoder that accepts previous and does not use the value of field
// then gets the same from next. OnlyCounted may return false although that is the case.
func OnlyCounted(previous, next []byte, field string) bool {
	b := firstDifference(previous, next)
	if b == len(previous) && b == len(next) {
		return true
	}
	for b > 0 && isDigit(previous[b-1]) {
		b--
	}
	d, e := digits(previous[b:]), digits(next[b:])
	return isNumber(previous[b:b+d]) && isNumber(next[b:b+e]) && namedBefore(previous[:b], field) &&
		bytes.Equal(previous[b+d:], next[b+e:])
}

// firstDifference returns the length of the common prefix of a and b.
func firstDifference(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// namedBefore reports whether text ends in the name of field and a colon. A quote
// within a string is written with a backslash before it, so that text is no string.
func namedBefore(text []byte, field string) bool {
	b, ok := bytes.CutSuffix(bytes.TrimRight(text, " "), []byte(`"`+field+`":`))
	return ok && !bytes.HasSuffix(b, []byte(`\`))
}

// digits returns the number of digits that text begins with.
func digits(text []byte) int {
	n := 0
	for n < len(text) && isDigit(text[n]) {
		n++
	}
	return n
}

// isNumber reports whether digits is a JSON number that fits into an int64.
func isNumber(digits []byte) bool {
	return len(digits) == 1 || len(digits) > 1 && len(digits) <= maxDigits && digits[0] != '0'
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
