package sardineknot

import "time"

// ConfigurationHead is the stored root of an accepted configuration. It refers
// to the bundles of the configuration by content hash, so that a change writes
// only the bundles that differ.
//
// The head is the value of the key ConfigurationHeadKey and is replaced by
// compare-and-swap. Bundles are the values of the keys that start with
// ConfigurationBundlePrefix. A bundle is written before any head that refers to
// it and is never modified.
type ConfigurationHead struct {
	// Revision is one greater than the revision of the head that this head
	// replaced.
	Revision Revision
	// Operation identifies the change. An operator who lost the reply to the
	// write uses it to determine whether the write took effect.
	Operation string
	// Author names the operator who made the change.
	Author string
	// AcceptedAt is the time of the change, by the operator's clock.
	AcceptedAt time.Time
	// Recent holds the most recent accepted changes, at most MaxRecentChanges,
	// starting with the change that wrote this head. An operator who lost the
	// reply to a write finds the change here even if other changes followed.
	Recent []ConfigurationChange
	// Bundles is ordered by name.
	Bundles []BundleReference
}

// MaxRecentChanges is the maximum length of ConfigurationHead.Recent.
const MaxRecentChanges = 16

// ConfigurationChange describes an accepted change of the configuration.
type ConfigurationChange struct {
	// Revision is the revision that the change created.
	Revision Revision
	// Operation is unique among changes.
	Operation string
	// Author names the operator who made the change.
	Author string
	// AcceptedAt is the time of the change, by the operator's clock.
	AcceptedAt time.Time
}

// BundleReference refers to a bundle by its content hash.
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
