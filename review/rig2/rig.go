package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// maxRunTime is how long a case may run before it is ended as one that could not run.
const maxRunTime = 110 * time.Second

// rig is what a case runs in: a temporary folder, the processes that it started and its record.
type rig struct {
	root    string // the repository's folder
	dir     string // temporary folder, removed at the end
	trouble bool   // false: the disruption is left out
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	procs    []*process
	findings []string
	unable   error // why the case could not run, found by a goroutine of a client
}

// caseError ends a case that can't run.
type caseError struct{ error }

// fatalf ends the case with cannotRun.
func (r *rig) fatalf(format string, args ...any) { panic(caseError{fmt.Errorf(format, args...)}) }

// must ends the case with cannotRun if err is not nil.
func (r *rig) must(err error) {
	if err != nil {
		panic(caseError{err})
	}
}

// logf writes a line to the record, with the time since the start of the case.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), r.dir, "TMP")
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), text)
}

// cannot records that the case can't run. Unlike fatalf it may be called by any goroutine.
func (r *rig) cannot(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unable = err
}

// broken records a break of the rule.
func (r *rig) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("BROKEN %s", text)
	r.mu.Lock()
	r.findings = append(r.findings, text)
	r.mu.Unlock()
}

// process is a process of the project that the case started.
type process struct {
	rig    *rig
	name   string
	cmd    *exec.Cmd
	log    string // path of its output
	exited chan struct{}
}

// start starts a program of the project's bin folder.
func (r *rig) start(name string, env []string, program string, args ...string) *process {
	p := &process{rig: r, name: name, exited: make(chan struct{}), log: filepath.Join(r.dir, name+".log")}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	r.must(err)
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(r.root, "bin", program), args...)
	p.cmd.Dir = r.root
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.must(p.cmd.Start())
	r.logf("process %s started: %s %s", name, program, strings.Join(args, " "))
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() {
		p.cmd.Wait()
		r.logf("process %s ended: %s", name, p.cmd.ProcessState)
		close(p.exited)
	}()
	return p
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.rig.logf("signal %s to process %s", s, p.name)
	p.cmd.Process.Signal(s)
}

// command runs a command of the project's to its end and returns its output.
func (r *rig) command(program string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(r.root, "bin", program), args...)
	cmd.Dir = r.root
	out, err := cmd.CombinedOutput()
	r.logf("command %s %s: error %v\n%s", program, strings.Join(args, " "), err, out)
	return string(out), err
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.exited
	}
	for _, p := range procs {
		if os.Getenv("LOGS") != "" {
			text, _ := os.ReadFile(p.log)
			r.logf("log of %s:\n%s", p.name, text)
		}
	}
	os.RemoveAll(r.dir)
	r.record.Close()
}

// freeAddr returns a loopback address that nobody listens on.
func (r *rig) freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	defer l.Close()
	return l.Addr().String()
}

// write puts a file into the temporary folder by a rename, and returns its path.
func (r *rig) write(name, text string) string {
	path := filepath.Join(r.dir, name)
	r.must(os.MkdirAll(filepath.Dir(path), 0o700))
	r.must(os.WriteFile(path+".part", []byte(text), 0o600))
	r.must(os.Rename(path+".part", path))
	return path
}

// await polls until done returns true, and ends the case with cannotRun if it takes too long.
func (r *rig) await(what string, limit time.Duration, done func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	r.fatalf("waited in vain for %s", what)
}

// run runs a case and returns its exit code.
func run(c func(*rig), folder string) (code int) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	record, err := os.Create(filepath.Join(root, folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	r := &rig{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	defer r.close()
	result := make(chan int, 1)
	go func() {
		defer func() {
			switch e := recover().(type) {
			case nil:
			case caseError:
				r.logf("COULD NOT RUN %v", e.error)
				fmt.Println("could not run:", e.error)
				result <- cannotRun
			default:
				panic(e)
			}
		}()
		c(r)
		result <- r.verdict()
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	select {
	case code := <-result:
		return code
	case s := <-ended:
		r.logf("COULD NOT RUN: %s", s)
		return cannotRun
	case <-time.After(maxRunTime):
		err := errors.New("the case took too long")
		r.logf("COULD NOT RUN %v", err)
		fmt.Println("could not run:", err)
		return cannotRun
	}
}

// verdict prints what was found and returns the exit code.
func (r *rig) verdict() int {
	r.mu.Lock()
	findings, unable := r.findings, r.unable
	r.mu.Unlock()
	if unable != nil {
		r.logf("COULD NOT RUN %v", unable)
		fmt.Println("could not run:", unable)
		return cannotRun
	}
	if len(findings) == 0 {
		r.logf("HELD")
		fmt.Println("the rule held")
		return ruleHeld
	}
	for _, f := range findings[:min(len(findings), 5)] {
		fmt.Println("broken:", f)
	}
	fmt.Printf("the rule was broken, %d findings\n", len(findings))
	return ruleBroken
}
