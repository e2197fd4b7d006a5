package revision

import (
	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// decode returns the head whose stored form is raw. An empty raw counts as a
// head of revision zero.
func decode(raw []byte) (head sardineknot.ConfigurationHead, err error) {
	if len(raw) == 0 {
		return head, nil
	}
	err = json.Unmarshal(raw, &head)
	return head, errors.WithStack(err)
}

// encode returns the stored form of head with the given references.
func encode(head sardineknot.ConfigurationHead, references []sardineknot.BundleReference) []byte {
	head.Bundles = references
	b, err := json.Marshal(head)
	if err != nil {
		panic(err)
	}
	return b
}
