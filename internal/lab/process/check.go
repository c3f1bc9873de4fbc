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
	peakSampleInterval = time.Millisecond // between two samples of the memory of a `yokestall check`
	maxOutputBytes     = 4096             // length to which the output of a `yokestall check` is cut
)

// CheckResult is the result of a run of `yokestall check`, with the CPU time, the wall time and the memory that it used.
type CheckResult struct {
	Accepted bool
	Output   string // the first maxOutputBytes of standard output and standard error, without surrounding white space
	Lines    int    // number of lines of the complete output
	CPU      time.Duration
	Wall     time.Duration
	// Peak is the maximum of the resident memory in bytes. It is sampled every peakSampleInterval, because the maximum that
	// the system reports when a child process ends may be that of the parent process, from the time between fork and exec.
	Peak int64
}

// Check runs `yokestall check` on the file at path. The program is started as command, with env added to the environment.
// Exit code 0 means that the file is accepted, 1 that it is rejected; every other exit code is an error.
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

// peakUntil samples the memory of a process until ended is closed, and returns the maximum in bytes.
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
