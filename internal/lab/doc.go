// Package lab plays experiments: a day of a fleet, written in a file, in virtual time
// (internal/fleetsim), over several seeds, beside peers; and compares two of them.
package lab
