// Package tlskeys provides the keys that TLS servers and clients use: certificates with their private keys, root certificates
// and session ticket keys. They are read as a set from the files of one directory. An entry of the set is replaced completely or
// not at all: while its files are partly written, or its key does not match its certificate, the previous entry remains in use,
// except as described at Update. All cryptography is that of the standard library.
//
//   - set.go: the set of entries that were read at one time, and lookups by name
//   - update.go: computes a set from a directory's files and the previous set
//   - folder.go, parse.go: reading the files, and parsing their content
//   - expiry.go: certificates that expire soon
//   - store.go: the set in force, which follows changes of the directory
//   - check.go: checks a directory for the command line
//   - serverconfig.go, clientconfig.go: TLS configurations of listeners and of connections to endpoints
package tlskeys
