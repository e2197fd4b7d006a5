package sardineknot

// HostRevision reports the configuration revision in force on an entry host.
type HostRevision struct {
	// Host and Incarnation identify the reporting process.
	Host        EntryHostID
	Incarnation Incarnation
	// Revision is the revision in force, or zero if there is none.
	Revision Revision
}
