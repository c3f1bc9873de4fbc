// Package deploy holds the example files that operators start from, for the demo.
package deploy

import "embed"

// XDS has the example set in xDS form, in the folder xds.
//
//go:embed xds/*.yaml
var XDS embed.FS
