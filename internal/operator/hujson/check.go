package hujson

import (
	"net/netip"
	"regexp"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
)

// namePattern matches the valid names of declared objects.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ExpectedName describes valid names, for use in problems.
const ExpectedName = "a name of 1 to 64 letters, digits, '.', '_' or '-'"

// IsName reports whether s is a valid name of a declared object.
func IsName(s string) bool { return namePattern.MatchString(s) }

// Element returns the pointer to the element at index of the list to which the
// pointer list refers.
func Element(list jsontext.Pointer, index int) jsontext.Pointer {
	return list.AppendToken(strconv.Itoa(index))
}

// Require reports whether the file has a value at pointer, and records a problem
// if it has none.
func (d *Document) Require(pointer jsontext.Pointer) bool {
	if !d.Has(pointer) {
		d.Report(pointer, "missing", "a value")
		return false
	}
	return true
}

// CheckName records a problem if name, the decoded value at pointer, is not a
// valid name. It has no effect if the file has no value there.
func (d *Document) CheckName(pointer jsontext.Pointer, name string) {
	if d.Has(pointer) && !IsName(name) {
		d.ReportValue(pointer, name, ExpectedName)
	}
}

// CheckAddress records a problem unless address, the decoded value at pointer,
// is a specified unicast address with a port. It has no effect if the file has
// no value there.
func (d *Document) CheckAddress(pointer jsontext.Pointer, address netip.AddrPort) {
	if !d.Has(pointer) {
		return
	}
	if !address.IsValid() || address.Addr().IsUnspecified() || address.Addr().IsMulticast() || address.Port() == 0 {
		d.ReportValue(pointer, address, `an IP address and a port that others can connect to, as in "127.0.0.1:7400"`)
	}
}
