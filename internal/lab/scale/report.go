package scale

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"yokestall/internal/fleet/agent"
)

// Report is what a process has used since it started.
type Report struct {
	At       time.Duration `json:"at"`     // by the machine's clock since boot
	CPU      time.Duration `json:"cpu"`    // of the process, user and system
	Memory   int64         `json:"memory"` // bytes resident at present
	Dialed   Traffic       `json:"dialed"` // by connections that the process made
	Accepted Traffic       `json:"accepted"`
	Sent     int64         `json:"sent"` // messages of RPCs
	Received int64         `json:"received"`
	Nodes    int           `json:"nodes"` // that are in the process
}

// Report tells what the process has used.
func (m *Meter) Report() (Report, error) {
	cpu, err := cpuTime()
	if err != nil {
		return Report{}, err
	}
	memory, err := residentMemory()
	if err != nil {
		return Report{}, err
	}
	return Report{
		At: agent.BootTime(), CPU: cpu, Memory: memory, Dialed: m.dialed.total(), Accepted: m.accepted.total(),
		Sent: m.sent.Load(), Received: m.received.Load(),
	}, nil
}

// cpuTime is what this process has used of the processors.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// residentMemory is how much memory of this process is residentMemory.
func residentMemory() (int64, error) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, os.ErrInvalid
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
