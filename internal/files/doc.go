// Package files reads and watches the configuration files of the load balancer. A version of the configuration is
// accepted as a whole, with all its files, or rejected as a whole. When a version is rejected, the last accepted version
// stays in force.
//
//   - configuration.go, check.go: a checked version, and the check of a single file
//   - reader.go, record.go, fileread.go, stamp.go: finding the changed files by their stamps, and reading them
//   - integrity.go, placements.go, resolution.go, openforwriting.go: the rule by which a file is known to be complete, and
//     what it looks at; seal.go, protection.go: giving files a checksum, and saying which have one
//   - parser.go, cache.go, contents.go: incremental parsing, which only parses what differs between versions
//   - bundle.go, change.go: versions of a fleet, which are lists of files that include changes of endpoint lists
//   - watcher.go: following the files of a node; package inotify: the notifications of the kernel
//
// Watcher.Run runs in its caller's goroutine. The only goroutine that it starts waits for notifications and ends with it.
// Parser.mu guards the caches of a Parser that several goroutines use for bundles. The Parser of a Watcher is used by one
// goroutine and needs no lock.
package files
