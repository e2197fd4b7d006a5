// Package settings reads the settings of an entry host: JSON with comments,
// in which every field is known and every value is checked.
package settings

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

// Load returns the settings in the file at path. It fails with an
// InvalidFilesError that tells everything that is wrong in the file.
func Load(path string) (sardineknot.Settings, error) {
	d := hujson.Open(os.DirFS(filepath.Dir(path)), filepath.Base(path), path)
	return read(d)
}

// Parse returns the settings in b. It fails as Load does.
func Parse(b []byte) (sardineknot.Settings, error) {
	return read(hujson.Parse("settings", b))
}

func read(d *hujson.Document) (sardineknot.Settings, error) {
	var s sardineknot.Settings
	if d.Decode(&s) {
		check(d, s)
	}
	if !d.OK() {
		return sardineknot.Settings{}, errors.WithStack(sardineknot.NewInvalidFilesError(d.Problems()))
	}
	return s, nil
}
