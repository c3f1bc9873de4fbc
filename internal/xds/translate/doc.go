// Package translate decodes Envoy's resources into the program's own types, and validates them before they are used. It
// is pure. docs/xds-fields.md says of each field whether it is honoured, mapped, ignored or refused; the package's
// tests compare that table with the code.
//
// A field that can't be ignored without sending a request somewhere else, or in another way, than the resource says is
// rejected: the resource gets a NACK that names it.
//
// translate.go decodes a resource by its type: listener.go, routes.go (with route.go and routematch.go), cluster.go
// (with transport.go) and assignment.go. unsupported.go lists the fields that are rejected, metadata.go reads the
// program's own metadata.
package translate
