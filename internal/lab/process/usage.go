package process

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of times in /proc/PID/stat: USER_HZ is 100 on every architecture that Go runs on.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used, by /proc.
type Usage struct {
	CPU  time.Duration // user and system time, of all its threads
	RSS  int64         // bytes resident now
	Peak int64         // the maximum so far
}

// ReadUsage returns what a process has used so far.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, err
	}
	return parseUsage(string(stat), string(status))
}

// parseUsage reads the content of /proc/PID/stat and /proc/PID/status (proc(5)).
func parseUsage(stat, status string) (u Usage, err error) {
	const userTime, systemTime = 11, 12 // fields behind the command's name, which is in brackets and may hold anything
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTime {
		return u, fmt.Errorf("stat of a process: %d fields", len(fields))
	}
	for _, i := range []int{userTime, systemTime} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return u, fmt.Errorf("stat of a process: %w", err)
		}
		u.CPU += time.Duration(ticks) * clockTick
	}
	if u.RSS, err = statusBytes(status, "VmRSS:"); err != nil {
		return u, err
	}
	u.Peak, err = statusBytes(status, "VmHWM:")
	return u, err
}

// statusBytes returns the bytes of a line of /proc/PID/status that is in kB.
func statusBytes(status, name string) (int64, error) {
	for line := range strings.Lines(status) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kB, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kB << 10, err
		}
	}
	return 0, fmt.Errorf("status of a process: no %s", name)
}

// Memory has settled once the medians of two consecutive windows of samples differ by less than a fraction.
const (
	settleSamples    = 16 // of a window
	settleTolerance  = 0.02
	maxSettleWindows = 15
)

// AwaitSettledMemory waits until a process's resident memory settles from one window to the next, and returns the
// median of the last window, in bytes. ok is false if it has not settled within maxSettleWindows.
func AwaitSettledMemory(ctx context.Context, pid int, window time.Duration) (rss int64, ok bool, err error) {
	tick := time.NewTicker(max(time.Millisecond, window/settleSamples))
	defer tick.Stop()
	var before int64
	for i := range maxSettleWindows {
		var samples []int64
		for range settleSamples {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return 0, false, ctx.Err()
			}
			u, err := ReadUsage(pid)
			if err != nil {
				return 0, false, err
			}
			samples = append(samples, u.RSS)
		}
		rss = median(samples)
		if i > 0 && withinTolerance(before, rss) {
			return rss, true, nil
		}
		before = rss
	}
	return rss, false, nil
}

// withinTolerance reports whether two medians differ by less than settleTolerance of the earlier one.
func withinTolerance(before, now int64) bool {
	d := float64(now - before)
	return max(d, -d) < settleTolerance*float64(before)
}

// median returns the upper median. list has at least one element.
func median(list []int64) int64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
