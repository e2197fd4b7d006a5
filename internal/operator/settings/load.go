// Package settings reads and validates the settings files of entry hosts, which
// are JSON with comments. Unknown fields are rejected.
package settings

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

// Load returns the settings in the file at path. It fails with an
// InvalidFilesError that lists all problems of the file.
func Load(path string) (sardineknot.Settings, error) {
	d := hujson.Open(os.DirFS(filepath.Dir(path)), filepath.Base(path), path)
	return read(d, check)
}

// Parse returns the settings in content. It fails with the same errors as Load.
func Parse(content []byte) (sardineknot.Settings, error) {
	return read(hujson.Parse("settings", content), check)
}

// read decodes d and lets check record the problems of the decoded settings in
// d. It fails with an InvalidFilesError if d has problems.
func read[S any](d *hujson.Document, check func(*hujson.Document, S)) (settings S, err error) {
	var s S
	if d.Decode(&s) {
		check(d, s)
	}
	if !d.OK() {
		return settings, errors.WithStack(sardineknot.NewInvalidFilesError(d.Problems()))
	}
	return s, nil
}
