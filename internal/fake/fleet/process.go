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

// Process is a real process of the program with a folder and an address that outlive it. Create it with NewProcess;
// its methods are safe for concurrent use.
type Process struct {
	Dir, Addr string
	Command   []string // that starts it, the configuration's path left out; not changed while it runs
	// Log is the file that its log is appended to: Dir/log, unless it is set before Start. The program watches the
	// folder of its configuration, so that a log there has it look at its files after each line.
	Log string
	env []string
	// Piped has it take commands on its standard input and answer on its standard output, which Pipes gives. Start doesn't
	// wait until it listens then: it says itself when it is ready. Not changed while it runs.
	Piped bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	paused bool
	in     io.WriteCloser
	out    *os.File
}

// NewProcess gives one that has not been started. Its port was free a moment ago, and is again while it is
// dead: it stands on an address of 127.0.0.0/8 of its own, or another rig's process could take it, and this one's
// clients would ask that.
func NewProcess(dir string, command, env []string) (*Process, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)))
	if err != nil {
		return nil, err
	}
	defer l.Close()
	p := &Process{Dir: dir, Addr: l.Addr().String(), Command: command, Log: filepath.Join(dir, "log"), env: env}
	return p, os.MkdirAll(dir, 0o700)
}

// Config is the path of its configuration.
func (p *Process) Config() string { return filepath.Join(p.Dir, "yokestall.toml") }

// PID is the number of the process that runs, 0 if none does.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Start starts it and waits until it listens. What it logs is appended to Log. It ends with the program that started
// it.
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
	for {
		if nc, err := net.DialTimeout("tcp", p.Addr, time.Second); err == nil {
			nc.Close()
			return nil
		}
		select {
		case <-ended:
			p.cmd = nil
			text, _ := os.ReadFile(log.Name())
			return fmt.Errorf("%s ended as it started: %s", p.Dir, text[max(0, len(text)-2000):])
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// launch starts a command, with pipes if it is to have some.
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

// Pipes gives where a piped process that was started takes commands, and where it answers.
func (p *Process) Pipes() (in io.WriteCloser, out io.Reader) { return p.in, p.out }

// Kill ends it at once, as a power cut would.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Kill() // a stopped one too
	<-p.ended
	if p.Piped {
		p.out.Close()
	}
	p.cmd = nil
}

// SetPaused stops it where it stands, and lets it go on.
func (p *Process) SetPaused(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.paused == on {
		return nil
	}
	p.paused = on
	if on {
		return p.cmd.Process.Signal(syscall.SIGSTOP)
	}
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// EraseState removes what it kept, but for its configuration; it must not run.
func (p *Process) EraseState() error {
	entries, err := os.ReadDir(p.Dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if name := e.Name(); name != "yokestall.toml" && name != "clusters" && name != "log" {
			if err := os.RemoveAll(filepath.Join(p.Dir, name)); err != nil {
				return err
			}
		}
	}
	return nil
}
