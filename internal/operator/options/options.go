// Package options implements the flags that the operators' commands share: the
// store, the directory of declarations and the output format.
package options

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

// Options holds the values of the shared flags. The methods AddStoreFlags,
// AddDeclarationsFlag and AddJSONFlag define these flags in the flag set of a
// command. Parsing that flag set sets the values. The zero value has no flags
// set.
type Options struct {
	// JSON selects JSON as the output format.
	JSON bool

	store     string
	timeout   time.Duration
	directory string
}

// AddStoreFlags defines the flags -store and -store-timeout in f.
func (o *Options) AddStoreFlags(f *flag.FlagSet) {
	f.StringVar(&o.store, "store", "", "address of the platform's key-value service")
	f.DurationVar(&o.timeout, "store-timeout", 2*time.Second, "time limit of one call to the service")
}

// AddDeclarationsFlag defines the flag -declarations in f.
func (o *Options) AddDeclarationsFlag(f *flag.FlagSet) {
	f.StringVar(&o.directory, "declarations", "", "directory with the declarations")
}

// AddJSONFlag defines the flag -json in f.
func (o *Options) AddJSONFlag(f *flag.FlagSet) {
	f.BoolVar(&o.JSON, "json", false, "print JSON")
}

// Writer returns a writer of configurations to the store at the address in the
// flag -store. It fails with an InvalidError if the value of -store or
// -store-timeout is invalid.
func (o *Options) Writer() (*writer.Writer, error) {
	a, err := netip.ParseAddrPort(o.store)
	if err != nil {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "-store", Got: o.store, Expected: "an IP address and a port"})
	}
	if o.timeout <= 0 {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "-store-timeout", Got: o.timeout.String(), Expected: "a positive duration"})
	}
	return writer.NewWriter(etcd.NewClient(a, o.timeout)), nil
}

// Load returns the configuration that the directory in the flag -declarations
// declares. It fails with an InvalidError if the flag is not set, and with an
// InvalidFilesError if the declarations are invalid.
func (o *Options) Load() (*sardineknot.Configuration, error) {
	if o.directory == "" {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "-declarations", Expected: "a directory"})
	}
	return declarations.Load(os.DirFS(o.directory), o.directory)
}

// ParseHosts returns the addresses in list, which are separated by commas. It
// fails with an InvalidError if an address is invalid or list is empty.
func ParseHosts(list string) ([]netip.AddrPort, error) {
	var l []netip.AddrPort
	for _, f := range strings.Split(list, ",") {
		a, err := netip.ParseAddrPort(f)
		if err != nil {
			return nil, errors.WithStack(&sardineknot.InvalidError{What: "-hosts", Got: f, Expected: "an IP address and a port"})
		}
		l = append(l, a)
	}
	return l, nil
}

// PrintJSON writes v to w as indented JSON.
func PrintJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.WithStack(e.Encode(v))
}
