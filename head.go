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
	// Recent lists the last accepted changes, this one first, at most
	// MaxRecentChanges. An operator who lost the reply to a write finds the
	// change here also when others followed.
	Recent []ConfigurationChange
	// Bundles is ordered by name.
	Bundles []BundleReference
}

// MaxRecentChanges bounds ConfigurationHead.Recent.
const MaxRecentChanges = 16

// ConfigurationChange is an accepted change of the configuration.
type ConfigurationChange struct {
	// Revision is the revision that the change made.
	Revision Revision
	// Operation is unique among changes.
	Operation string
	// Author names the operator.
	Author string
	// AcceptedAt is the time of the change by the operator's clock.
	AcceptedAt time.Time
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
