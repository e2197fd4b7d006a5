// Package changelog keeps the state of the platform's key-value service as one
// host has read it, together with the recent changes, so that other hosts can
// read both from this host instead of from the service.
//
// Changes are recorded in batches. A batch covers the revisions from the end of
// the batch before it to its own end. A reader names the last revision that it
// has read and gets every batch that ends after it. It may therefore get
// changes that it knows already.
//
// The log holds one era of the service. When a new one begins, so does the log:
// readers of the era before read all entries again.
package changelog
