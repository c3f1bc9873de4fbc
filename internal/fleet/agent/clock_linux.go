package agent

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started, by a clock that also advances while the machine or the process
// is suspended. Leases are measured by this clock.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // CLOCK_BOOTTIME exists in every kernel since 2.6.39
	}
	return time.Duration(t.Nano())
}
