package revision

import (
	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

func decode(raw []byte) (h sardineknot.ConfigurationHead, err error) {
	if len(raw) == 0 {
		return h, nil
	}
	err = json.Unmarshal(raw, &h)
	return h, errors.WithStack(err)
}

// encode returns the stored form of h with the references l.
func encode(h sardineknot.ConfigurationHead, l []sardineknot.BundleReference) []byte {
	h.Bundles = l
	b, err := json.Marshal(h)
	if err != nil {
		panic(err)
	}
	return b
}
