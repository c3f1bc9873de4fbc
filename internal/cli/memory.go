package cli

import "runtime/debug"

// memoryLimit sets the Go runtime's soft limit of memory by the program's file: as the heap nears it, garbage is
// collected more often. Where the file has no limit, the one that the process was started with holds (GOMEMLIMIT).
type memoryLimit struct {
	started int64 // bytes, as the process was started
}

// newMemoryLimit reads the limit that holds, without changing it.
func newMemoryLimit() memoryLimit { return memoryLimit{started: debug.SetMemoryLimit(-1)} }

// set puts a limit in force; 0: the one of the start.
func (l memoryLimit) set(bytes int64) {
	if bytes == 0 {
		bytes = l.started
	}
	debug.SetMemoryLimit(bytes)
}
