package hujson

import (
	"net/netip"
	"regexp"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
)

// name matches the names of everything that operators declare.
var name = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ExpectedName says what a name is.
const ExpectedName = "a name of 1 to 64 letters, digits, '.', '_' or '-'"

// IsName reports whether s can name something that operators declare.
func IsName(s string) bool { return name.MatchString(s) }

// Item returns the pointer to item i of the list at p.
func Item(p jsontext.Pointer, i int) jsontext.Pointer {
	return p.AppendToken(strconv.Itoa(i))
}

// Require records a problem if the file has no value at p.
func (d *Document) Require(p jsontext.Pointer) bool {
	if !d.Has(p) {
		d.Problem(p, "missing", "a value")
		return false
	}
	return true
}

// CheckName records a problem if the value at p is present and s, its decoded
// form, is not a name.
func (d *Document) CheckName(p jsontext.Pointer, s string) {
	if d.Has(p) && !IsName(s) {
		d.Value(p, s, ExpectedName)
	}
}

// CheckAddress records a problem if the value at p is present and a, its
// decoded form, cannot be connected to.
func (d *Document) CheckAddress(p jsontext.Pointer, a netip.AddrPort) {
	if !d.Has(p) {
		return
	}
	if !a.IsValid() || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Port() == 0 {
		d.Value(p, a, `an IP number and a port that others can connect to, as in "127.0.0.1:7400"`)
	}
}
