// Package tlskeys provides the keys that TLS uses on both sides: certificates with their private keys, root
// certificates, and the keys of session tickets. A set of them is read from the files of one folder. Each entry is
// used completely or not at all: where a rotation is half written, or a key does not fit its certificate, the entry
// stays as it was. All cryptography is the standard library's.
//
//   - set.go: the entries at one time, found by name
//   - update.go: a new set from a folder's files and the set before
//   - parse.go: the contents of files; folder.go: reading them
//   - expiry.go: certificates that are about to end
//   - store.go: the set in force, which follows the folder
//   - check.go: the check of a folder for the command line
//   - serverconfig.go, clientconfig.go: TLS configurations of listeners and of connections to endpoints
package tlskeys
