package hujson

// tooDeep returns the offset of the first bracket that nests deeper than
// maxDepth, or -1. It protects the recursive parser; brackets in comments are
// counted too.
func tooDeep(b []byte) int {
	n := 0
	s := false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case s && c == '\\':
			i++
		case c == '"':
			s = !s
		case !s && (c == '{' || c == '['):
			n++
		case !s && (c == '}' || c == ']'):
			n--
		}
		if n > maxDepth {
			return i
		}
	}
	return -1
}
