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
	maxRunningServers   = 64 // fake servers, which all services share
	logPollInterval     = 2 * time.Millisecond
	versionPollInterval = 10 * time.Millisecond
	changeTimeout       = 2 * time.Minute // until a change is in force
	maxLogBytes         = 1 << 30         // of the process's log, that are read at once
	connectTimeout      = 5 * time.Second
	requestTimeout      = 10 * time.Second
	idleTimeout         = time.Minute // of the load's connections
	maxOpenRequests     = 4096        // of the load, at once
)

// ServeProcess is a process of the program before fake servers, which follows files that can be replaced. Create it
// with StartServe.
type ServeProcess struct {
	Generator Generator
	Servers   []*appbox.Server

	dir              string
	process          *fleet.Process
	client           *http.Client // connects to the process, whatever the request's host is
	settings         Settings     // in force
	acceptedVersions int          // versions of the files that the process has logged as accepted
	logOffset        int64        // bytes of the log that have been read
}

// StartServe starts fake servers with a delay, writes the files of a size below dir and starts a process by them. The
// process serves when StartServe returns.
func StartServe(
	ctx context.Context, size Size, seed uint64, serverDelay time.Duration, dir string, command, env []string,
) (s *ServeProcess, err error) {
	if size.Servers > maxRunningServers {
		return nil, fmt.Errorf("%s: %d servers of a service; %d at most where they are served",
			size.Name, size.Servers, maxRunningServers)
	}
	s = &ServeProcess{dir: dir, acceptedVersions: 1}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	for i := range size.Servers {
		server, err := appbox.Start(fmt.Sprintf("server-%d", i))
		if err != nil {
			return nil, err
		}
		server.SetDelay(serverDelay)
		s.Servers = append(s.Servers, server)
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

// newClient returns a client that connects to addr whatever a request's host is; "": to the request's host.
func newClient(addr string) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	dial := func(ctx context.Context, network, host string) (net.Conn, error) {
		if addr != "" {
			host = addr
		}
		return dialer.DialContext(ctx, network, host)
	}
	t := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxOpenRequests,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &http.Client{Transport: t, Timeout: requestTimeout}
}

// Close ends the process and the servers.
func (s *ServeProcess) Close() {
	if s.process != nil {
		s.process.Kill()
	}
	if s.client != nil {
		s.client.CloseIdleConnections()
	}
	for _, server := range s.Servers {
		server.Down()
	}
}

// Usage returns what the process has used so far.
func (s *ServeProcess) Usage() (Usage, error) { return ReadUsage(s.process.PID()) }
