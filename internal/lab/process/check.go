package process

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"strings"
	"time"

	"yokestall/internal/fake/fleet"
)

const (
	peakSampleInterval = time.Millisecond // of a check's memory
	maxOutputBytes     = 4096             // of what a check prints
)

// CheckResult is the result of `yokestall check`, and what the command used.
type CheckResult struct {
	Accepted bool
	Output   string // its first maxOutputBytes
	Lines    int    // of its complete output
	CPU      time.Duration
	Wall     time.Duration
	// Peak is the maximum of the resident memory in bytes, by samples peakSampleInterval apart: what the system reports
	// at a child's end may be its parent's, from between fork and exec.
	Peak int64
}

// Check runs the program's check of a file. An exit code other than 0 and 1 is an error.
func Check(ctx context.Context, command, env []string, path string) (CheckResult, error) {
	cmd := exec.CommandContext(ctx, command[0], append(command[1:len(command):len(command)], "check", path)...)
	cmd.Env = append(os.Environ(), env...)
	fleet.EndWithParent(cmd)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	began := time.Now()
	if err := cmd.Start(); err != nil {
		return CheckResult{}, err
	}
	ended := make(chan struct{})
	peak := make(chan int64)
	go func() { peak <- peakUntil(cmd.Process.Pid, ended) }()
	err := cmd.Wait()
	v := CheckResult{Wall: time.Since(began), CPU: cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()}
	close(ended)
	v.Peak = <-peak
	v.Lines = bytes.Count(out.Bytes(), []byte("\n"))
	v.Output = strings.TrimSpace(string(out.Bytes()[:min(out.Len(), maxOutputBytes)]))
	var exit *exec.ExitError
	switch {
	case ctx.Err() != nil:
		return v, ctx.Err()
	case err == nil:
		v.Accepted = true
	case errors.As(err, &exit) && exit.ExitCode() == 1:
	default:
		return v, errors.Join(err, errors.New(v.Output))
	}
	return v, nil
}

// peakUntil samples the peak of a process's memory until the process has ended.
func peakUntil(pid int, ended <-chan struct{}) (peak int64) {
	tick := time.NewTicker(peakSampleInterval)
	defer tick.Stop()
	for {
		if u, err := ReadUsage(pid); err == nil {
			peak = max(peak, u.Peak)
		}
		select {
		case <-ended:
			return peak
		case <-tick.C:
		}
	}
}
