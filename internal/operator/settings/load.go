// Package settings reads the settings of an entry host: JSON with comments,
// in which every field is known and every value is checked.
package settings

import (
	"os"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/codec"
)

// Load returns the settings in the file at path.
func Load(path string) (sardineknot.Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return sardineknot.Settings{}, errors.WithStack(err)
	}
	return Parse(b)
}

// Parse returns the settings in b.
func Parse(b []byte) (sardineknot.Settings, error) {
	var s sardineknot.Settings
	b, err := hujson.Standardize(b)
	if err != nil {
		return s, errors.WithStack(err)
	}
	err = json.Unmarshal(b, &s, codec.Durations())
	return s, errors.WithStack(err)
}
