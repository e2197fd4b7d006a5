// Package target holds the flags that the operators' commands share: which
// store, which declarations, and the form of the output.
package target

import (
	"encoding/json"
	"flag"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/writer"
	"sardineknot.example/sardineknot/internal/operator/declarations"
	"sardineknot.example/sardineknot/internal/platform/etcd"
)

// Target is what a command works on. The zero value is set by flags.
type Target struct {
	// JSON selects JSON for output that is data.
	JSON bool

	store     string
	timeout   time.Duration
	directory string
}

// SetStore declares the flags of the store.
func (t *Target) SetStore(f *flag.FlagSet) {
	f.StringVar(&t.store, "store", "", "address of the platform's key-value service")
	f.DurationVar(&t.timeout, "store-timeout", 2*time.Second, "bound of one call to the service")
}

// SetDeclarations declares the flag of the declarations.
func (t *Target) SetDeclarations(f *flag.FlagSet) {
	f.StringVar(&t.directory, "declarations", "", "directory with the declarations")
}

// SetJSON declares the flag of the output's form.
func (t *Target) SetJSON(f *flag.FlagSet) {
	f.BoolVar(&t.JSON, "json", false, "print JSON")
}

// Writer returns a writer to the store. It fails with an InvalidError if the
// flags are not valid.
func (t *Target) Writer() (*writer.Writer, error) {
	a, err := netip.ParseAddrPort(t.store)
	if err != nil {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "-store", Got: t.store, Expected: "an IP address and a port"})
	}
	if t.timeout <= 0 {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "-store-timeout", Got: t.timeout.String(), Expected: "a positive duration"})
	}
	return writer.NewWriter(etcd.NewClient(a, t.timeout)), nil
}

// Load returns the declared configuration. It fails with an InvalidFilesError
// if the declarations are not valid.
func (t *Target) Load() (*sardineknot.Configuration, error) {
	if t.directory == "" {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "-declarations", Expected: "a directory"})
	}
	return declarations.Load(os.DirFS(t.directory), t.directory)
}

// ParseHosts returns the addresses in s, which are separated by commas. It fails
// with an InvalidError if one does not parse, and if there is none.
func ParseHosts(s string) ([]netip.AddrPort, error) {
	var l []netip.AddrPort
	for _, f := range strings.Split(s, ",") {
		a, err := netip.ParseAddrPort(f)
		if err != nil {
			return nil, errors.WithStack(&sardineknot.InvalidError{What: "-hosts", Got: f, Expected: "an IP address and a port"})
		}
		l = append(l, a)
	}
	return l, nil
}

// Print writes v as indented JSON.
func Print(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.WithStack(e.Encode(v))
}
