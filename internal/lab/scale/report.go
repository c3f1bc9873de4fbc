package scale

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"yokestall/internal/fleet/agent"
)

// Report is the resources that a process has used since it started.
type Report struct {
	At       time.Duration `json:"at"`       // time of the report, since the machine's boot
	CPU      time.Duration `json:"cpu"`      // user and system time of the process
	Memory   int64         `json:"memory"`   // resident memory at the time of the report, in bytes
	Dialed   Traffic       `json:"dialed"`   // traffic on connections that the process made
	Accepted Traffic       `json:"accepted"` // traffic on connections that the process accepted
	Sent     int64         `json:"sent"`     // messages of RPCs that the process sent
	Received int64         `json:"received"` // messages of RPCs that the process received
	Nodes    int           `json:"nodes"`    // number of nodes in the process
}

// Report returns the resources that the process has used. Nodes is 0, because the meter doesn't know the process's nodes.
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

// cpuTime returns the CPU time that this process has used.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// residentMemory returns the resident memory of this process in bytes.
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
