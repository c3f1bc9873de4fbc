package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/fleet"
)

const (
	maxRunningServers   = 64 // stand-in servers, which all services share
	logPollInterval     = 2 * time.Millisecond
	versionPollInterval = 10 * time.Millisecond
	changeTimeout       = 2 * time.Minute // for a change to be in force
	maxOpenRequests     = 4096            // requests of the load that may be open at once
)

// ServeProcess is a process of the program before stand-in servers, which follows files that can be replaced. Create it
// with Serve.
type ServeProcess struct {
	Generator Generator
	Servers   []*appbox.Box

	dir              string
	process          *fleet.Process
	client           *http.Client // connects to the process, whatever host is asked for
	settings         Settings     // in force
	acceptedVersions int          // versions of the files that the process has logged
	logOffset        int64        // bytes of the log that have been looked at
}

// StartServe writes the files of a size below dir and starts a process by them. It listens when StartServe returns.
func StartServe(ctx context.Context, size Size, seed uint64, serverTime time.Duration, dir string, command, env []string) (s *ServeProcess, err error) {
	if size.Servers > maxRunningServers {
		return nil, fmt.Errorf("%s: %d servers of a service; %d at most where they are served", size.Name, size.Servers, maxRunningServers)
	}
	s = &ServeProcess{dir: dir, acceptedVersions: 1}
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
		s.Servers = append(s.Servers, b)
	}
	command = append(command[:len(command):len(command)], "serve", "-c")
	if s.process, err = fleet.NewProcess(filepath.Join(dir, "served"), command, env); err != nil {
		return nil, err
	}
	s.process.Log = filepath.Join(dir, "log") // not in the folder that the program watches
	s.client = newClient(s.process.Addr)
	s.Generator = Generator{Size: size, Seed: seed, Place: Place{
		Listen: s.process.Addr, Server: func(j int) string { return s.Servers[j].Addr() },
	}}
	if err := s.Generator.Write(s.process.Dir); err != nil {
		return nil, err
	}
	if err := s.process.Start(ctx); err != nil {
		return nil, err
	}
	return s, s.awaitResponse(ctx, "/version", VersionText(s.settings))
}

// newClient gives a client whose connections all lead to one address; "": to the one that is asked for.
func newClient(addr string) *http.Client {
	dialer := &net.Dialer{Timeout: 5 * time.Second}
	t := &http.Transport{MaxIdleConnsPerHost: maxOpenRequests, MaxIdleConns: 0, IdleConnTimeout: time.Minute, DisableCompression: true}
	t.DialContext = func(ctx context.Context, network, asked string) (net.Conn, error) {
		if addr != "" {
			asked = addr
		}
		return dialer.DialContext(ctx, network, asked)
	}
	return &http.Client{Transport: t, Timeout: 10 * time.Second}
}

// Close ends the process and the servers.
func (s *ServeProcess) Close() {
	if s.process != nil {
		s.process.Kill()
	}
	if s.client != nil {
		s.client.CloseIdleConnections()
	}
	for _, b := range s.Servers {
		b.Down()
	}
}

// Usage gives what the process has used so far.
func (s *ServeProcess) Usage() (Usage, error) { return ReadUsage(s.process.PID()) }
