package agent

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is the time since the machine started, by a clock that goes on while the machine or the process is
// suspended. Leases are counted by it.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel since 2.6.39 has it
	}
	return time.Duration(t.Nano())
}
