package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is a real process of the program, with a folder and an address that outlive it. Create it with NewProcess;
// its methods are safe for concurrent use.
type Process struct {
	Dir, Addr string
	// Command starts it, without the path of its configuration. It is not changed while it runs.
	Command []string
	// Log is the file that its output is appended to: Dir/log, unless it is set before Start. The program watches the
	// folder of its configuration, so that a log in that folder makes it read its files after each line.
	Log string
	// Piped connects its standard input and output to Pipes. Start doesn't wait until it listens then: it says itself
	// when it is ready. It is not changed while it runs.
	Piped bool
	env   []string

	mu     sync.Mutex
	cmd    *exec.Cmd // nil: it doesn't run
	ended  chan struct{}
	paused bool
	in     io.WriteCloser
	out    *os.File
}

const (
	configName   = "yokestall.toml"
	clustersName = "clusters" // the folder of the clusters' configurations
	logName      = "log"

	startDialTimeout = time.Second
	startPollPeriod  = 5 * time.Millisecond
	maxLogInError    = 2000 // bytes
)

// NewProcess makes a process that has not been started. Its port was free a moment ago, and is free while it is dead:
// it has an address of 127.0.0.0/8 of its own, since otherwise another rig's process could get the port, and with it
// this one's clients.
func NewProcess(dir string, command, env []string) (*Process, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)))
	if err != nil {
		return nil, err
	}
	defer l.Close()
	p := &Process{Dir: dir, Addr: l.Addr().String(), Command: command, Log: filepath.Join(dir, logName), env: env}
	return p, os.MkdirAll(dir, 0o700)
}

// Config is the path of its configuration.
func (p *Process) Config() string { return filepath.Join(p.Dir, configName) }

// PID is the ID of the process that runs, 0 if none does.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Start starts the process and waits until it listens. The process ends with the program that started it.
func (p *Process) Start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s runs already", p.Dir)
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
		return fmt.Errorf("%s: %w", p.Dir, err)
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

// waitUntilListening waits until the process that was started listens, or ends; p.mu is locked.
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
			return fmt.Errorf("%s ended as it started: %s", p.Dir, text[max(0, len(text)-maxLogInError):])
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startPollPeriod):
		}
	}
}

// launch starts a command, with pipes if the process is piped.
func (p *Process) launch(cmd *exec.Cmd) error {
	if !p.Piped {
		return cmd.Start()
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, answers, err := os.Pipe() // cmd.Wait would close a StdoutPipe that is still read
	if err != nil {
		return err
	}
	defer answers.Close() // the process has its own
	cmd.Stdout = answers
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	p.in, p.out = in, out
	return nil
}

// Pipes returns the standard input and output of a piped process that was started.
func (p *Process) Pipes() (in io.WriteCloser, out io.Reader) { return p.in, p.out }

// Kill kills the process, paused or not, and waits for its end.
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

// SetPaused stops the process by a signal, or continues it. It does nothing to one that doesn't run.
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

// EraseState removes all files but the configuration and the log. The process must not run.
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
