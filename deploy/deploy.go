// Package deploy embeds the example files that operators can start from, for the demo.
package deploy

import "embed"

// XDS has the example resources of an xDS control plane, in the folder xds.
//
//go:embed xds/*.yaml
var XDS embed.FS
