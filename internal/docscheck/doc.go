// Package docscheck has the tests that hold the pages under docs against the source: each declaration and each
// package that docs/architecture.md and docs/glossary.md name exists.
package docscheck
