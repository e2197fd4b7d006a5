package sardineknot

// HostRevision is what an entry host has in force.
type HostRevision struct {
	// Host and Incarnation tell which life of which host answers.
	Host        EntryHostID
	Incarnation Incarnation
	// Revision is the revision in force, or zero if there is none.
	Revision Revision
}
