package process

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/fleet"
)

const (
	maxBoxes     = 64 // stand-in servers, which all services share
	lookEvery    = 2 * time.Millisecond
	askEvery     = 10 * time.Millisecond
	versionLimit = 2 * time.Minute // for a change to be in force
	openLimit    = 4096            // requests of the load that may be open at once
)

// Served is a process of the program before stand-in servers, which follows files that can be replaced. Create it
// with Serve.
type Served struct {
	Generator Generator
	Boxes     []*appbox.Server

	dir      string
	process  *fleet.Process
	client   *http.Client // connects to the process, whatever host is asked for
	settings Settings     // in force
	taken    int          // versions of the files that the process has logged
	logged   int64        // bytes of the log that have been looked at
}

// Serve writes the files of a size below dir and starts a process by them. It listens when Serve returns.
func Serve(ctx context.Context, size Size, seed uint64, serverTime time.Duration, dir string, command, env []string) (s *Served, err error) {
	if size.Servers > maxBoxes {
		return nil, fmt.Errorf("%s: %d servers of a service; %d at most where they are served", size.Name, size.Servers, maxBoxes)
	}
	s = &Served{dir: dir, taken: 1}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	for i := range size.Servers {
		b, err := appbox.Start(fmt.Sprintf("server-%d", i))
		if err != nil {
			return nil, err
		}
		b.SetDelay(serverTime)
		s.Boxes = append(s.Boxes, b)
	}
	command = append(command[:len(command):len(command)], "serve", "-c")
	if s.process, err = fleet.NewProcess(filepath.Join(dir, "served"), command, env); err != nil {
		return nil, err
	}
	s.process.Log = filepath.Join(dir, "log") // not in the folder that the program watches
	s.client = newClient(s.process.Addr)
	s.Generator = Generator{Size: size, Seed: seed, Place: Place{
		Listen: s.process.Addr, Server: func(j int) string { return s.Boxes[j].Addr() },
	}}
	if err := s.Generator.Write(s.process.Dir); err != nil {
		return nil, err
	}
	if err := s.process.Start(ctx); err != nil {
		return nil, err
	}
	return s, s.awaitText(ctx, "/version", VersionText(s.settings))
}

// newClient gives a client whose connections all lead to one address; "": to the one that is asked for.
func newClient(addr string) *http.Client {
	dialer := &net.Dialer{Timeout: 5 * time.Second}
	t := &http.Transport{MaxIdleConnsPerHost: openLimit, MaxIdleConns: 0, IdleConnTimeout: time.Minute, DisableCompression: true}
	t.DialContext = func(ctx context.Context, network, asked string) (net.Conn, error) {
		if addr != "" {
			asked = addr
		}
		return dialer.DialContext(ctx, network, asked)
	}
	return &http.Client{Transport: t, Timeout: 10 * time.Second}
}

// Close ends the process and the servers.
func (s *Served) Close() {
	if s.process != nil {
		s.process.Kill()
	}
	if s.client != nil {
		s.client.CloseIdleConnections()
	}
	for _, b := range s.Boxes {
		b.Down()
	}
}

// Usage gives what the process has used so far.
func (s *Served) Usage() (Usage, error) { return ReadUsage(s.process.PID()) }

// ChangeSettings replaces the program's file by one with other settings, and returns when they are in force.
func (s *Served) ChangeSettings(ctx context.Context) error {
	next := s.settings
	next.Version++
	next.Step++
	return s.change(ctx, next)
}

// ChangeRoute replaces the program's file by one in which a route answers another text, and returns when it does.
func (s *Served) ChangeRoute(ctx context.Context) error {
	next := s.settings
	next.Version++
	next.Text++
	return s.change(ctx, next)
}

func (s *Served) change(ctx context.Context, next Settings) error {
	ctx, cancel := context.WithTimeout(ctx, versionLimit)
	defer cancel()
	if err := s.replace(programFile, s.Generator.Program(next)); err != nil {
		return err
	}
	if err := s.awaitTaken(ctx); err != nil {
		return err
	}
	s.settings = next
	return s.awaitText(ctx, "/version", VersionText(next))
}

// ChangeList replaces one cluster's file by one whose first server has another weight, and returns when the process
// has taken it.
func (s *Served) ChangeList(ctx context.Context, service, change int) error {
	ctx, cancel := context.WithTimeout(ctx, versionLimit)
	defer cancel()
	if err := s.replace(clusterFile(service), s.Generator.Cluster(service, change)); err != nil {
		return err
	}
	return s.awaitTaken(ctx)
}

// replace puts a new file in the place of an old one at once. It is written outside of the folders that the program
// watches, so that one change is one event there.
func (s *Served) replace(name string, text []byte) error {
	written := filepath.Join(s.dir, "next")
	if err := os.WriteFile(written, text, 0o600); err != nil {
		return err
	}
	return os.Rename(written, filepath.Join(s.process.Dir, name))
}

// awaitTaken waits until the process logs the next version of its files. It has not put it in force yet then.
func (s *Served) awaitTaken(ctx context.Context) error {
	want := []byte(fmt.Sprintf("version=%d ", s.taken+1))
	for {
		text, err := s.newLog()
		if err != nil {
			return err
		}
		if bytes.Contains(text, []byte("are not taken")) {
			return fmt.Errorf("a change is refused: %s", text)
		}
		if bytes.Contains(text, want) {
			s.taken++
			return nil
		}
		if err := pause(ctx, lookEvery); err != nil {
			return fmt.Errorf("version %d of the files: %w", s.taken+1, err)
		}
	}
}

// newLog gives the whole lines that the process has logged since the last look.
func (s *Served) newLog() ([]byte, error) {
	f, err := os.Open(s.process.Log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.NewSectionReader(f, s.logged, 1<<30))
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	s.logged += int64(len(text))
	return text, err
}

// awaitText asks the version host until it answers a text.
func (s *Served) awaitText(ctx context.Context, path, want string) error {
	for {
		text, err := s.text(ctx, path)
		if err == nil && text == want {
			return nil
		}
		if pauseErr := pause(ctx, askEvery); pauseErr != nil {
			return errors.Join(fmt.Errorf("%s answers %q, not %q", path, text, want), err, pauseErr)
		}
	}
}

func (s *Served) text(ctx context.Context, path string) (string, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+VersionHost+path, nil)
	if err != nil {
		return "", err
	}
	a, err := s.client.Do(q)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return string(bytes.TrimSpace(text)), err
}

// pause waits for a time, or for the end of ctx.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
