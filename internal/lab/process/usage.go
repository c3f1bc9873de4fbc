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

// clockTick is the unit of the times in /proc/PID/stat. USER_HZ is 100 on every architecture that Go supports.
const clockTick = 10 * time.Millisecond

// Usage is the CPU time and memory of a process, as /proc reports them.
type Usage struct {
	CPU  time.Duration // user and system time of all threads since the process's start
	RSS  int64         // resident memory in bytes
	Peak int64         // maximum of the resident memory in bytes since the process's start
}

// ReadUsage returns the CPU time and memory that a process has used since its start.
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

// parseUsage parses the content of /proc/PID/stat and /proc/PID/status, see proc(5).
func parseUsage(stat, status string) (u Usage, err error) {
	// Indexes of the fields after the command's name. The name is in parentheses and may contain spaces and parentheses.
	const userTime, systemTime = 11, 12
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTime {
		return u, fmt.Errorf("/proc/PID/stat: only %d fields after the command's name", len(fields))
	}
	for _, i := range []int{userTime, systemTime} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return u, fmt.Errorf("/proc/PID/stat: CPU time: %w", err)
		}
		u.CPU += time.Duration(ticks) * clockTick
	}
	if u.RSS, err = statusBytes(status, "VmRSS:"); err != nil {
		return u, err
	}
	u.Peak, err = statusBytes(status, "VmHWM:")
	return u, err
}

// statusBytes returns the value in bytes of the line that begins with name. status is the content of /proc/PID/status or
// /proc/meminfo, and the line's value is in kB.
func statusBytes(status, name string) (int64, error) {
	for line := range strings.Lines(status) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kB, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kB << 10, err
		}
	}
	return 0, fmt.Errorf("/proc/PID/status has no line %s", name)
}

// Memory has settled when the medians of two consecutive windows of samples differ by less than a fraction of the earlier one.
const (
	settleSamples    = 16   // samples in a window
	settleTolerance  = 0.02 // fraction of the earlier median
	maxSettleWindows = 15   // windows after which AwaitSettledMemory stops waiting
)

// AwaitSettledMemory waits until a process's resident memory settles from one window of samples to the next, and returns the
// median of the last window in bytes. ok is false if the memory has not settled within maxSettleWindows windows.
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

// median returns the upper median of a list that is not empty.
func median(list []int64) int64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
