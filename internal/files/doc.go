// Package files reads and watches the configuration files of the product program. A version of the configuration is
// accepted complete, over all files together, or not at all; the last good one stays in force.
//
//   - configuration.go, check.go: a checked version, and the check of single files
//   - reader.go, record.go, fileread.go, stamp.go: which files have to be read, by their stamps, and reading them
//   - parser.go, cache.go, contents.go: parsing, at the cost of what differs between versions
//   - bundle.go, change.go: the versions of a fleet, which come as files in a list, with changes of endpoint lists
//   - watcher.go, notifier.go: following the files
//
// A Watcher runs in the goroutine of its caller and starts none but that of the file notification, which it ends.
// Parser.mu guards the caches of a Parser that several goroutines use for bundles; a Watcher's own needs no lock.
package files
