// Package examples embeds the declarations and settings of two example
// deployments, which the command demo runs.
package examples

import "embed"

// Files contains one directory for each deployment, with its declarations and
// the settings of its entry hosts.
//
//go:embed akstursbok kessler
var Files embed.FS
