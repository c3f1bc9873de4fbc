// Package translate decodes Envoy's resources into the program's own types, and validates the resources before they are
// used. The package is pure: it does no I/O. docs/xds-fields.md says for each field whether it is honoured, mapped,
// ignored or refused; the package's tests compare that table with the code.
//
// If ignoring a field would send a request somewhere else, or in another way, than the resource says, a resource with
// that field is rejected, and the NACK names the field.
//
// translate.go decodes a resource by its type, with the functions of listener.go, routes.go (with route.go and
// routematch.go), cluster.go (with transport.go) or assignment.go. unsupported.go lists the fields that are rejected,
// and metadata.go reads the program's own metadata.
package translate
