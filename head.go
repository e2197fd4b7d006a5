package sardineknot

import "time"

// ConfigurationHead is the stored root of an accepted configuration. It names
// the bundles that make it up by the hash of their content, so that a change
// moves only the bundles that it touches.
//
// The head is the value of the key ConfigurationHeadKey and is replaced by
// compare-and-swap. Bundles are the values of the keys that start with
// ConfigurationBundlePrefix; they are written before the head that names them
// and are never modified.
type ConfigurationHead struct {
	// Revision is one more than that of the head it replaced.
	Revision Revision
	// Operation identifies the change. An operator who lost the reply to the
	// write finds out by it whether the write took effect.
	Operation string
	// Author names the operator.
	Author string
	// AcceptedAt is the time of the change by the operator's clock.
	AcceptedAt time.Time
	// Bundles is ordered by name.
	Bundles []BundleReference
}

// BundleReference names a bundle by its content.
type BundleReference struct {
	// Name is unique within a head.
	Name string
	// Hash is the lower-case hexadecimal SHA-256 of the content.
	Hash string
}

// The keys of the accepted configuration in the platform's key-value service.
const (
	ConfigurationHeadKey      = "sardineknot/configuration/head"
	ConfigurationBundlePrefix = "sardineknot/configuration/bundle/"
)
