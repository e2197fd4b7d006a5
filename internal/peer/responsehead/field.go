package responsehead

import "bytes"

// checkField checks the field line l.
func (h *head) checkField(l []byte) error {
	n, v, ok := bytes.Cut(l, []byte(":"))
	if !ok {
		return malformed("a line has no colon")
	}
	h.framing.add(string(n), string(bytes.Trim(v, " \t")))
	return nil
}
