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
	At       time.Duration `json:"at"`       // since the machine's boot
	CPU      time.Duration `json:"cpu"`      // user and system time of the process
	Memory   int64         `json:"memory"`   // bytes resident now
	Dialed   Traffic       `json:"dialed"`   // over connections that the process made
	Accepted Traffic       `json:"accepted"` // over connections that were made to it
	Sent     int64         `json:"sent"`     // messages of RPCs, as is Received
	Received int64         `json:"received"`
	Nodes    int           `json:"nodes"` // in the process
}

// Report returns what the process has used. Nodes is 0: the meter doesn't know them.
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

// residentMemory returns the bytes of this process's memory that are resident.
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
