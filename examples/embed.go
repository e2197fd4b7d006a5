// Package examples holds example declarations and settings of two deployments,
// embedded for the command demo.
package examples

import "embed"

// Files holds a directory for each deployment, with its declarations and the
// settings of its entry hosts.
//
//go:embed akstursbok kessler
var Files embed.FS
