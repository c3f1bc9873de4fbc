package versions

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleet/agent"
)

const (
	clientTimeout       = 2 * time.Second
	maxIdleConnsPerNode = 64
	retryDelay          = 20 * time.Millisecond // between two calls to voters that are retried or polled
)

// Headers of requests and responses.
const (
	stampHeader          = "X-Rules" // stamp of the version by which a process sent an attempt
	requestIDHeader      = "X-Request-Id"
	timeoutHeader        = "X-Timeout-Ms"
	idempotencyKeyHeader = "Idempotency-Key"
)

// ownFileStamp is the stamp in a process's own file, which belongs to no version.
const ownFileStamp = 0

// run is the state of an experiment that is being played.
type run struct {
	Experiment
	rig             *fleet.Rig
	servers         []*http.Server
	serverAddresses []string
	// voterAddresses holds the voters' listening addresses, by node; "" for nodes that are not voters.
	voterAddresses []string
	client         *http.Client
	agent          *agent.Client
	outcome        Outcome
	acknowledged   map[uint64]string // ids of acknowledged versions, by version number

	requested, served, rejected, failed atomic.Int64

	answered  chan struct{} // signals a change of lastStamp
	mu        sync.Mutex    // guards lastStamp
	lastStamp map[int]int   // stamp of the last successful answer to a request of a class other than read, by process
}

// newRun makes the processes without starting them, and starts the servers. The caller closes the run.
func newRun(e Experiment, dir string, command, env []string) (*run, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerNode}
	r := &run{
		Experiment:   e,
		client:       &http.Client{Timeout: clientTimeout, Transport: transport},
		acknowledged: map[uint64]string{},
		answered:     make(chan struct{}, 1),
		lastStamp:    map[int]int{},
	}
	var err error
	if r.rig, err = fleet.NewRig(dir, e.Nodes, nil, fleet.ServeCommand(command), env); err != nil {
		return nil, err
	}
	for node, p := range r.rig.Processes {
		p.Command = r.serveCommand(node, command)
	}
	r.rig.Record.Begin(time.Now())
	for i := range e.Servers {
		if err := r.startServer(i); err != nil {
			r.close()
			return nil, err
		}
	}
	return r, nil
}

// close stops all processes and servers.
func (r *run) close() {
	r.rig.Close()
	for _, s := range r.servers {
		s.Close()
	}
	r.client.CloseIdleConnections()
}

// serveCommand returns the command that starts a node. If the experiment skews clocks, the command sets the rate of the
// node's clock.
func (r *run) serveCommand(node int, command []string) []string {
	program := r.program(node, command)
	if !r.SkewClocks {
		return fleet.ServeCommand(program)
	}
	direction := []float64{1, -1, 0}[node%3]
	rate := 1 + r.Lease.MaxClockDrift*direction
	return slices.Concat(program, []string{"lab", "serve", fmt.Sprint("--rate=", rate), "-c"})
}

// startServer starts a server that records each attempt and answers with the attempt's stamp.
func (r *run) startServer(index int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	handler := func(w http.ResponseWriter, request *http.Request) {
		stamp := request.Header.Get(stampHeader)
		number, _ := strconv.Atoi(stamp)
		id := request.Header.Get(requestIDHeader)
		r.rig.Record.Add(fleet.Event{Kind: fleet.AttemptArrived, Party: index, ID: id, Version: number})
		w.Header().Set(stampHeader, stamp)
	}
	s := &http.Server{ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0), Handler: http.HandlerFunc(handler)}
	r.servers = append(r.servers, s)
	r.serverAddresses = append(r.serverAddresses, listener.Addr().String())
	go s.Serve(listener)
	return nil
}

// configure writes each process's own configuration file and initializes the voters' stores.
func (r *run) configure(ctx context.Context, command, env []string) error {
	if err := r.reserveVoterAddresses(); err != nil {
		return err
	}
	if err := r.rig.ConnectPeers(r.voterAddresses[:r.Voters]); err != nil {
		return err
	}
	for node, p := range r.rig.Processes {
		if err := p.WriteConfig(r.programFile(node, ownFileStamp)); err != nil {
			return err
		}
		if node >= r.Voters {
			continue
		}
		if err := initStore(ctx, r.program(node, command), env, p.Config()); err != nil {
			return err
		}
	}
	return nil
}

// reserveVoterAddresses finds a free port for each voter on the address of its process. The port is closed again, for the
// process to listen on.
func (r *run) reserveVoterAddresses() error {
	r.voterAddresses = make([]string, r.Nodes)
	for i, p := range r.rig.Processes[:r.Voters] {
		host, _, err := net.SplitHostPort(p.Addr)
		if err != nil {
			return err
		}
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return err
		}
		r.voterAddresses[i] = listener.Addr().String()
		listener.Close()
	}
	return nil
}

// initStore initializes a voter's store by the command fleet init with the voter's configuration file.
func initStore(ctx context.Context, program, env []string, configPath string) error {
	arguments := slices.Concat(program[1:], []string{"fleet", "init", "-c", configPath})
	command := exec.CommandContext(ctx, program[0], arguments...)
	command.Env = append(os.Environ(), env...)
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("initializing the voter's store by fleet init failed: %w: %s", err, output)
	}
	return nil
}

// voters returns the names and addresses of the voters, by node.
func (r *run) voters() []agent.VoterAddress {
	var list []agent.VoterAddress
	for i := range r.Voters {
		list = append(list, agent.VoterAddress{Name: nodeName(i), Address: r.voterAddresses[i]})
	}
	return list
}
