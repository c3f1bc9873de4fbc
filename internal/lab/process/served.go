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
	maxRunningServers   = 64 // maximum number of fake servers, which all services share
	logPollInterval     = 2 * time.Millisecond
	versionPollInterval = 10 * time.Millisecond
	changeTimeout       = 2 * time.Minute // maximum time until a change is in force
	maxLogBytes         = 1 << 30         // maximum number of bytes of the process's log that are read at once
	connectTimeout      = 5 * time.Second
	requestTimeout      = 10 * time.Second
	idleTimeout         = time.Minute // time after which the client closes an idle connection
	maxOpenRequests     = 4096        // maximum number of requests of a load in flight
)

// ServeProcess is a process that runs `yokestall serve` in front of fake servers, with configuration files that can be
// replaced. Create it with StartServe.
type ServeProcess struct {
	Generator Generator
	Servers   []*appbox.Server

	dir              string
	process          *fleet.Process
	client           *http.Client // connects to the process for every host of a request
	settings         Settings     // settings in force
	acceptedVersions int          // number of versions of the files that the process has logged as accepted
	logOffset        int64        // number of bytes of the log that have been read
}

// StartServe starts fake servers that delay their responses by serverDelay, writes the files of a size below dir, and starts a
// process with these files. When StartServe returns, the process is ready to serve.
func StartServe(
	ctx context.Context, size Size, seed uint64, serverDelay time.Duration, dir string, command, env []string,
) (s *ServeProcess, err error) {
	if size.Servers > maxRunningServers {
		return nil, fmt.Errorf("size %s: %d servers per service, at most %d are allowed for a process that serves",
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
	s.process.Log = filepath.Join(dir, "log") // outside the folder that the program watches
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

// newClient returns a client that connects to addr for every request. If addr is "", it connects to the request's host.
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

// Close kills the process and stops the fake servers.
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

// Usage returns the CPU time and memory that the process has used since its start.
func (s *ServeProcess) Usage() (Usage, error) { return ReadUsage(s.process.PID()) }
