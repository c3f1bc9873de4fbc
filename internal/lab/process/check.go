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
	peakSampleInterval = time.Millisecond // how often the memory of a check is looked at
	maxOutputBytes     = 4096             // kept of what a check prints
)

// Verdict is what `yokestall check` said of files, and what that took.
type Verdict struct {
	Accepted bool
	Output   string // its first bytes
	Lines    int    // of all that it said
	CPU      time.Duration
	Wall     time.Duration
	// Peak is the most memory that was seen resident, by samples a millisecond apart: what the system reports at a
	// child's end may be its parent's, from between fork and exec.
	Peak int64
}

// Check has the program check a file.
func Check(ctx context.Context, command, env []string, path string) (Verdict, error) {
	cmd := exec.CommandContext(ctx, command[0], append(command[1:len(command):len(command)], "check", path)...)
	cmd.Env = append(os.Environ(), env...)
	fleet.EndWithParent(cmd)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	began := time.Now()
	if err := cmd.Start(); err != nil {
		return Verdict{}, err
	}
	ended := make(chan struct{})
	peak := make(chan int64)
	go func() { peak <- peakUntil(cmd.Process.Pid, ended) }()
	err := cmd.Wait()
	v := Verdict{Wall: time.Since(began), CPU: cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()}
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

// peakUntil samples the most memory that a process has had, until it has ended.
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
