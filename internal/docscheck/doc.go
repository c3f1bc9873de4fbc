// Package docscheck has tests that compare the pages in docs with the source: the declarations, packages, paths and tests that
// the pages name must exist, and docs/log-events.md must list the log events of the programs that serve.
package docscheck
