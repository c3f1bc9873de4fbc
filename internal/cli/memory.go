package cli

import "runtime/debug"

// memoryLimit sets the Go runtime's soft memory limit according to the memory limit in the configuration file. The garbage
// collector runs more often as the heap approaches the limit. If the file has no limit, the limit with which the process was
// started (GOMEMLIMIT) applies.
type memoryLimit struct {
	initial int64 // limit in bytes with which the process was started
}

// newMemoryLimit reads the runtime's current limit, without changing it.
func newMemoryLimit() memoryLimit { return memoryLimit{initial: debug.SetMemoryLimit(-1)} }

// codeBytes is the part of the process's memory that the Go runtime does not manage: mainly the program's code and tables,
// of which the kernel keeps in memory what was used.
const codeBytes = 28 << 20

// set limits the process's memory to a number of bytes, of which the runtime gets what codeBytes leaves; 0 restores the limit
// with which the process was started.
func (l memoryLimit) set(bytes int64) {
	limit := bytes - codeBytes
	if bytes == 0 {
		limit = l.initial
	}
	debug.SetMemoryLimit(limit)
}
