// Package declarations compiles a directory of declarations into a
// configuration.
//
// The file deployment.jsonc declares the region, its availability zones and the
// links between them. Each file in the directory templates declares one kind of
// work with typed parameters. Each file in accounts declares one client account,
// which selects templates and assigns values to their parameters. Each file in
// backends lists backend servers. docs/design/declarations.md is the reference
// of the format.
//
// A configuration is returned only if all declarations are valid. Every template
// is checked with the values of every account that uses it, and every kind of
// work requires backend servers that can run it.
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
	// maxFiles is the maximum number of files in one subdirectory.
	maxFiles = 10000
	// extension is the required extension of declaration files.
	extension = ".jsonc"
)

// Load returns the configuration that the files in fsys declare. Its revision
// is zero. name is the name of the directory in the positions of problems. Load
// fails with an InvalidFilesError that lists the problems of all files.
func Load(fsys fs.FS, name string) (*sardineknot.Configuration, error) {
	d := &directory{fs: fsys, name: name}
	d.deployment = d.readDeployment()
	for _, o := range d.openFiles("backends") {
		d.readBackends(o)
	}
	for _, o := range d.openFiles("templates") {
		d.readTemplate(o)
	}
	for _, o := range d.openFiles("accounts") {
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
	// documents holds the files read so far, and their problems.
	documents []*hujson.Document

	deployment deployment
	backends   backends
	templates  map[string]*template
	contracts  map[sardineknot.ClientAccountName]contract
}

// openFiles parses the declaration files in the given subdirectory and returns
// them ordered by name. It skips hidden entries, and records a problem for
// every entry that is not a declaration file.
func (d *directory) openFiles(subdirectory string) []*hujson.Document {
	l, err := fs.ReadDir(d.fs, subdirectory)
	if err != nil {
		d.reportFile(subdirectory, "not readable", "a readable directory")
		return nil
	}
	if len(l) > maxFiles {
		d.reportFile(subdirectory, fmt.Sprint(len(l), " files"), fmt.Sprint("at most ", maxFiles, " files"))
		return nil
	}
	var r []*hujson.Document
	for _, e := range l {
		n := path.Join(subdirectory, e.Name())
		switch {
		case strings.HasPrefix(e.Name(), "."):
		case !e.Type().IsRegular() || path.Ext(n) != extension:
			d.reportFile(n, "not a declaration file", "a regular file with the extension "+extension)
		default:
			r = append(r, d.openFile(n))
		}
	}
	return r
}

// openFile parses file, whose path is relative to the directory.
func (d *directory) openFile(file string) *hujson.Document {
	o := hujson.Open(d.fs, file, path.Join(d.name, file))
	d.documents = append(d.documents, o)
	return o
}

// reportFile records a problem that concerns the whole of file, whose path is
// relative to the directory.
func (d *directory) reportFile(file, got, expected string) {
	o := hujson.Parse(path.Join(d.name, file), nil)
	o.ReportFile(got, expected)
	d.documents = append(d.documents, o)
}

func (d *directory) problems() []*sardineknot.PositionError {
	var l []*sardineknot.PositionError
	for _, o := range d.documents {
		l = append(l, o.Problems()...)
	}
	return l
}

// configuration returns the compiled configuration, with accounts and backend
// servers ordered by name. The declarations must be free of problems.
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
