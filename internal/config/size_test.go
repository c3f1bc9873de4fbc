package config

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// programWithTenants returns a program's file with the given number of tenants.
func programWithTenants(tenants int) string {
	var b strings.Builder
	b.WriteString(baseProgram)
	for t := range tenants {
		fmt.Fprintf(&b, "[[tenant]]\nname = \"tenant-%06d\"\nquota_per_s = 20\n", t)
	}
	return b.String()
}

// baseProgram is a valid program's file of 13 lines without tenants.
const baseProgram = `[listen]
address = "127.0.0.1:0"
[files]
clusters = "clusters"
[[class]]
name = "read"
effect = "safe"
deadline = "1s"
[[host]]
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
`

// BenchmarkParseProgram measures the time, the processor time and the allocations of parsing a program's file by its number of
// tenants, and as kept-B the bytes of the heap that the parsed program occupies.
func BenchmarkParseProgram(b *testing.B) {
	for _, tenants := range []int{1000, 140_000, MaxTenants} {
		text := []byte(programWithTenants(tenants))
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			var p *Program
			var err error
			before := processorTime()
			for b.Loop() {
				if p, err = ParseProgram("x.toml", text); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64((processorTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
			with := heapBytes()
			runtime.KeepAlive(p)
			p = nil
			b.ReportMetric(float64(with-heapBytes()), "kept-B")
		})
	}
}

// processorTime returns the processor time that the process has used, or 0 if it can't be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the size of the heap after garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
