// Package rig has what the drivers of the review's cases share: the record of a run, the processes under test, and
// stand-ins for servers, clients and discovery. All addresses are loopback addresses.
package rig

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0 // the rule held
	Broken   = 1 // the rule was broken
	CouldNot = 2 // the case could not run
)

// Run is one run of a case: its record, its temporary folder and the processes that it has started.
type Run struct {
	Trouble bool   // false with TROUBLE=0: the run is without the disruption
	Root    string // root of the repository
	Dir     string // temporary folder of the run

	mu     sync.Mutex
	record *os.File
	start  time.Time
	procs  []*Process
}

// Start begins a run. The folder of the case comes first on the command line; the record is written there.
func Start() *Run {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: driver FOLDER-OF-THE-CASE")
		os.Exit(CouldNot)
	}
	folder, err := filepath.Abs(os.Args[1])
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	if err == nil {
		r.Root = filepath.Dir(filepath.Dir(folder))
		r.Dir, err = os.MkdirTemp("", "review-")
	}
	if err == nil {
		r.record, err = os.Create(filepath.Join(folder, "record.txt"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	time.AfterFunc(110*time.Second, func() { r.Fatal("the run took too long") })
	r.Logf("trouble: %v", r.Trouble)
	return r
}

// Now returns the time since the start of the run.
func (r *Run) Now() time.Duration { return time.Since(r.start) }

// Logf writes a line to the record, with the time since the start of the run.
func (r *Run) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// End ends the run: it kills the processes that still run, removes the temporary folder and exits.
func (r *Run) End(code int) {
	words := map[int]string{Held: "the rule held", Broken: "THE RULE WAS BROKEN", CouldNot: "the case could not run"}
	r.Logf("result: %s", words[code])
	r.mu.Lock()
	for _, p := range r.procs {
		p.cmd.Process.Kill()
	}
	r.mu.Unlock()
	for _, p := range r.procs {
		<-p.Ended
	}
	os.RemoveAll(r.Dir)
	fmt.Println(words[code])
	os.Exit(code)
}

// Fatal ends the run as one that could not run.
func (r *Run) Fatal(format string, args ...any) {
	r.Logf("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	r.End(CouldNot)
}

// Process is a process of the project's programs.
type Process struct {
	Ended chan struct{} // closed when the process has ended
	name  string
	cmd   *exec.Cmd
}

// Launch starts a command by /bin/sh from the root. extra files are inherited from descriptor 3 on.
func (r *Run) Launch(name, command string, env []string, extra ...*os.File) *Process {
	log, err := os.Create(filepath.Join(r.Dir, name+".log"))
	if err != nil {
		r.Fatal("%v", err)
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.Root, log, log
	cmd.Env = append(append(os.Environ(), "TMPDIR="+r.Dir), env...)
	cmd.ExtraFiles = extra
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		r.Fatal("%s: %v", name, err)
	}
	p := &Process{Ended: make(chan struct{}), name: name, cmd: cmd}
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() {
		cmd.Wait()
		close(p.Ended)
	}()
	r.Logf("%s: started: %s", name, command)
	return p
}

// Signal sends a signal to a process.
func (r *Run) Signal(p *Process, s syscall.Signal) {
	r.Logf("%s: signal %v", p.name, s)
	p.cmd.Process.Signal(s)
}

// Log returns what a process has written.
func (r *Run) Log(p *Process) string {
	text, _ := os.ReadFile(filepath.Join(r.Dir, p.name+".log"))
	return string(text)
}

// FreeAddress returns a loopback address that nobody listens on.
func (r *Run) FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fatal("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// WriteFile writes a file in the temporary folder under another name and renames it, so that nobody reads half of it.
func (r *Run) WriteFile(name, text string) string {
	path := filepath.Join(r.Dir, name)
	err := os.MkdirAll(filepath.Dir(path), 0o700)
	if err == nil {
		err = os.WriteFile(path+".part", []byte(text), 0o600)
	}
	if err == nil {
		err = os.Rename(path+".part", path)
	}
	if err != nil {
		r.Fatal("%v", err)
	}
	return path
}
