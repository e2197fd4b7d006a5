// Package declarations compiles a directory of declarations into a
// configuration.
//
// The file deployment.jsonc names the region, its availability zones and the
// links between them. The directory templates holds one kind of work a file,
// with typed parameters; accounts holds one client account a file, which
// chooses templates and gives values; backends holds files that list backend
// servers. docs/design/declarations.md is the reference of the format.
//
// Everything is checked before anything is returned: a template together with
// every account that uses it, and every kind of work against the backend
// servers that it needs.
package declarations

import (
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

const (
	// maxFiles bounds the files of one kind.
	maxFiles = 10000
	// extension is that of every file of declarations.
	extension = ".jsonc"
)

// Load returns the configuration that the directory f declares, without a
// revision. name names the directory in problems. It fails with an
// InvalidFilesError that tells everything that is wrong.
func Load(f fs.FS, name string) (*sardineknot.Configuration, error) {
	d := &directory{fs: f, name: name}
	d.deployment = d.readDeployment()
	for _, o := range d.open("backends") {
		d.readBackends(o)
	}
	for _, o := range d.open("templates") {
		d.readTemplate(o)
	}
	for _, o := range d.open("accounts") {
		d.readAccount(o)
	}
	if p := d.problems(); len(p) > 0 {
		return nil, errors.WithStack(sardineknot.NewInvalidFilesError(p))
	}
	return d.configuration(), nil
}

// directory is a directory of declarations that is being compiled.
type directory struct {
	fs   fs.FS
	name string
	// documents are the files read so far.
	documents []*hujson.Document

	deployment deployment
	backends   backends
	templates  map[string]*template
	contracts  map[sardineknot.ClientAccountName]contract
}

// open returns the documents in a subdirectory, ordered by name.
func (d *directory) open(kind string) []*hujson.Document {
	l, err := fs.ReadDir(d.fs, kind)
	if err != nil {
		d.refuse(kind, "not readable", "a directory")
		return nil
	}
	if len(l) > maxFiles {
		d.refuse(kind, fmt.Sprint(len(l), " files"), fmt.Sprint("at most ", maxFiles, " files"))
		return nil
	}
	var r []*hujson.Document
	for _, e := range l {
		n := path.Join(kind, e.Name())
		switch {
		case strings.HasPrefix(e.Name(), "."):
		case !e.Type().IsRegular() || path.Ext(n) != extension:
			d.refuse(n, "of another kind", "a file with the extension "+extension)
		default:
			r = append(r, d.file(n))
		}
	}
	return r
}

// file returns the document in the file at path p.
func (d *directory) file(p string) *hujson.Document {
	o := hujson.Open(d.fs, p, path.Join(d.name, p))
	d.documents = append(d.documents, o)
	return o
}

// refuse records a problem of the whole file at path p.
func (d *directory) refuse(p, got, expected string) {
	o := hujson.Parse(path.Join(d.name, p), nil)
	o.Refuse(got, expected)
	d.documents = append(d.documents, o)
}

func (d *directory) problems() []*sardineknot.PositionError {
	var l []*sardineknot.PositionError
	for _, o := range d.documents {
		l = append(l, o.Problems()...)
	}
	return l
}

// configuration returns the compiled form of declarations without problems.
func (d *directory) configuration() *sardineknot.Configuration {
	c := &sardineknot.Configuration{BackendServers: d.backends.list, Links: d.deployment.Links}
	for _, k := range d.contracts {
		c.Contracts = append(c.Contracts, k.contract)
	}
	slices.SortFunc(c.Contracts, func(a, b sardineknot.Contract) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	slices.SortFunc(c.BackendServers, func(a, b sardineknot.BackendServer) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return c
}
