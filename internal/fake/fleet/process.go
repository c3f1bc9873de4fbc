package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"yokestall/internal/fake/loopback"
)

// Process is a process of the program that can be started and killed repeatedly, and keeps its folder and its address.
// Create it with NewProcess. Its methods are safe for concurrent use, except Pipes.
type Process struct {
	Dir, Addr string
	// Command is the command line that starts the process, without the path of its configuration. Command must not
	// change while the process runs.
	Command []string
	// Log is the file that the output of the process is appended to: Dir/log, unless the caller sets another before
	// Start. The program watches the folder of its configuration, so a log in that folder makes the program read its
	// configuration files again after each log line.
	Log string
	// Piped connects the standard input and output of the process to Pipes. Start then does not wait until the process
	// listens, since a piped process announces on its output that it is ready. Piped must not change while the process
	// runs.
	Piped bool
	env   []string

	mu     sync.Mutex
	cmd    *exec.Cmd // nil if the process does not run
	ended  chan struct{}
	paused bool
	in     io.WriteCloser
	out    *os.File
}

const (
	configName   = "yokestall.toml"
	clustersName = "clusters" // the folder of the cluster files
	logName      = "log"

	startDialTimeout = time.Second
	startPollPeriod  = 5 * time.Millisecond
	maxLogInError    = 2000 // bytes
)

// NewProcess returns a process that has not been started, with a free port on an address of its own (loopback.Listen).
func NewProcess(dir string, command, env []string) (*Process, error) {
	l, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	defer l.Close()
	p := &Process{Dir: dir, Addr: l.Addr().String(), Command: command, Log: filepath.Join(dir, logName), env: env}
	return p, os.MkdirAll(dir, 0o700)
}

// Config returns the path of the configuration file.
func (p *Process) Config() string { return filepath.Join(p.Dir, configName) }

// PID returns the operating system's ID of the running process, or 0 if the process does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Start starts the process and, unless it is Piped, waits until it listens. On Linux the process is killed when the
// program that started it ends.
func (p *Process) Start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("process in %s is already running", p.Dir)
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.Command[0], append(p.Command[1:len(p.Command):len(p.Command)], p.Config())...)
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), p.env...), log, log
	EndWithParent(cmd)
	if err := p.launch(cmd); err != nil {
		return fmt.Errorf("starting the process in %s: %w", p.Dir, err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.paused = cmd, ended, false
	go func() {
		cmd.Wait()
		close(ended)
	}()
	if p.Piped {
		return nil
	}
	return p.waitUntilListening(ctx)
}

// waitUntilListening waits until the started process accepts a connection, ends, or ctx ends. The caller holds p.mu.
func (p *Process) waitUntilListening(ctx context.Context) error {
	for {
		if nc, err := net.DialTimeout("tcp", p.Addr, startDialTimeout); err == nil {
			nc.Close()
			return nil
		}
		select {
		case <-p.ended:
			p.cmd = nil
			text, _ := os.ReadFile(p.Log)
			return fmt.Errorf("process in %s ended before it listened; the end of its log: %s",
				p.Dir, text[max(0, len(text)-maxLogInError):])
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startPollPeriod):
		}
	}
}

// launch starts cmd, with pipes if the process is Piped.
func (p *Process) launch(cmd *exec.Cmd) error {
	if !p.Piped {
		return cmd.Start()
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, outWriter, err := os.Pipe() // not cmd.StdoutPipe: cmd.Wait would close it while it is read
	if err != nil {
		return err
	}
	defer outWriter.Close() // the child process holds a duplicate
	cmd.Stdout = outWriter
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	p.in, p.out = in, out
	return nil
}

// Pipes returns the standard input and output of a Piped process that has been started.
func (p *Process) Pipes() (in io.WriteCloser, out io.Reader) { return p.in, p.out }

// Kill kills the process, paused or not, and waits until it has ended. It does nothing if the process does not run.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Kill()
	<-p.ended
	if p.Piped {
		p.out.Close()
	}
	p.cmd = nil
}

// SetPaused pauses the process by SIGSTOP, or continues it by SIGCONT. It does nothing if the process does not run.
func (p *Process) SetPaused(paused bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.paused == paused {
		return nil
	}
	p.paused = paused
	if paused {
		return p.cmd.Process.Signal(syscall.SIGSTOP)
	}
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// EraseState removes all files of the process's folder except the configuration, the cluster files and the log. The
// process must not run.
func (p *Process) EraseState() error {
	entries, err := os.ReadDir(p.Dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		switch e.Name() {
		case configName, clustersName, logName:
			continue
		}
		if err := os.RemoveAll(filepath.Join(p.Dir, e.Name())); err != nil {
			return err
		}
	}
	return nil
}
