package badpeers

import (
	"path/filepath"
	"runtime/metrics"
)

// liveMemory returns the memory in bytes of the heap objects that were live at the latest garbage collection, plus that
// of the goroutine stacks.
func liveMemory() int64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64() + sample[1].Value.Uint64())
}

// openDescriptors returns the number of file descriptors that this process has open.
func openDescriptors() int {
	list, _ := filepath.Glob("/proc/self/fd/*")
	return len(list)
}
