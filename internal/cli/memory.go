package cli

import "runtime/debug"

// memoryLimit sets the Go runtime's soft memory limit to the one in the configuration file. The garbage collector runs
// more often as the heap approaches the limit. If the file has no limit, the limit with which the process was started
// (GOMEMLIMIT) applies.
type memoryLimit struct {
	initial int64 // limit in bytes with which the process was started
}

// newMemoryLimit reads the runtime's current limit, without changing it.
func newMemoryLimit() memoryLimit { return memoryLimit{initial: debug.SetMemoryLimit(-1)} }

// set sets the limit to a number of bytes; 0 restores the limit with which the process was started.
func (l memoryLimit) set(bytes int64) {
	if bytes == 0 {
		bytes = l.initial
	}
	debug.SetMemoryLimit(bytes)
}
