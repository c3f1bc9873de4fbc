package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"yokestall/internal/fake/platform"
)

// MaintenanceOptions are the options of Maintenance.
type MaintenanceOptions struct {
	Out         io.Writer
	NodeCommand []string // command that runs a node of the platform
	NodeEnv     []string // additional environment of NodeCommand
	Clients     int
	Phase       time.Duration // length of each step
}

const (
	// maintenancePause is the time between an answer and the next request of a client. It is also the time that an
	// endpoint takes to answer.
	maintenancePause = 5 * time.Millisecond
	// nodeMemoryMB and nodeSockets are the limits of the platform on the memory in MB and on the sockets of a node.
	nodeMemoryMB = 64
	nodeSockets  = 384
	// maintainedEndpoints is the number of endpoints. detachedEndpoint is the index of the endpoint that is detached.
	maintainedEndpoints = 3
	detachedEndpoint    = 1
)

const maintenanceSettings = `{"Classes": [
	{"Name": "pay", "Effect": "side_effect", "DeadlineMs": 1900, "PromiseMs": 750, "Importance": 8}],
	"Limits": {"MaxAttempts": 3, "MaxRetryAfterMs": 600, "RetryAfter": true, "Cancel": true}, "Zones": ["a"],
	"Contract": {"ColdFrom": 0.4, "ColdMs": 2000, "FallMultiple": 3, "FallMs": 1000, "DrainGraceMs": 500}}`

// Maintenance shows the maintenance of a node under load. An endpoint is detached, restarted and attached. Meanwhile, the
// process of the node is replaced by a successor that runs beside it. Finally, the node enters and leaves lame duck mode.
// violations describes the violated rules.
func Maintenance(ctx context.Context, o MaintenanceOptions) (violations []string, err error) {
	m := &maintenance{MaintenanceOptions: o}
	if m.Platform, err = platform.New(platform.Options{
		Command: o.NodeCommand, Env: o.NodeEnv, PassSocket: true, Settings: maintenanceSettings,
		MemoryMB: nodeMemoryMB, Sockets: nodeSockets, AppServers: maintainedEndpoints, ResponseDelay: maintenancePause,
	}); err != nil {
		return nil, err
	}
	defer m.Close()
	node, err := m.Start()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	clients := platform.Drive(ctx, m.Addr, o.Clients, maintenancePause)
	err = m.run(ctx, node)
	stop()
	for _, request := range clients.Wait() {
		m.addViolation("request %s got no answer", request)
	}
	if n := clients.Failed.Load(); n > 0 {
		m.addViolation("%d requests failed", n)
	}
	fmt.Fprintf(o.Out, "\n%d served, %d refused, %d failed, %d sent again; rules violated: %d\n", clients.Served.Load(),
		clients.Rejected.Load(), clients.Failed.Load(), clients.Resent.Load(), len(m.violations))
	for _, v := range m.violations {
		fmt.Fprintln(o.Out, "  ", v)
	}
	return m.violations, err
}

// maintenance is the state of a run of the maintenance demo.
type maintenance struct {
	MaintenanceOptions
	*platform.Platform
	violations []string
}

// run runs the steps of the demo.
func (m *maintenance) run(ctx context.Context, node *platform.Node) error {
	m.step(ctx, "all endpoints serve")
	m.command(node, "DETACH box-1")
	time.Sleep(drainGrace) // attempts from before the detachment may still arrive
	atDetach := m.deliveries()[detachedEndpoint]
	m.step(ctx, "box-1 is detached")
	endpoint := m.AppServers[detachedEndpoint]
	endpoint.Down()
	if err := endpoint.Up(); err != nil {
		return err
	}
	successor, err := m.Start()
	if err != nil {
		return err
	}
	fmt.Fprintln(m.Out,
		"a second process starts beside the first, which is told to stop (box-1 has been restarted)")
	if err := node.Stop(); err != nil {
		m.addViolation("stopping the first process failed: %v", err)
	}
	m.step(ctx, "the second process serves")
	if n := m.deliveries()[detachedEndpoint] - atDetach; n > 0 {
		m.addViolation("%d requests reached box-1 while it was detached", n)
	}
	m.command(successor, "ATTACH box-1")
	m.step(ctx, "box-1 is attached and warms up")
	if m.deliveries()[detachedEndpoint] == atDetach {
		m.addViolation("no request reached box-1 after it was attached")
	}
	m.command(successor, "LAMEDUCK")
	m.checkReadiness(http.StatusServiceUnavailable)
	m.step(ctx, "lame duck mode, still serving")
	m.command(successor, "REJOIN")
	m.checkReadiness(http.StatusOK)
	m.step(ctx, "lame duck mode is over")
	return ctx.Err()
}

// addViolation adds a violated rule.
func (m *maintenance) addViolation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// deliveries returns the number of requests that have reached each endpoint, by index.
func (m *maintenance) deliveries() (n [maintainedEndpoints]int) {
	for i := range n {
		n[i] = m.Received(i)
	}
	return n
}

// step waits for Phase while the load continues, and prints the number of requests that reached each endpoint.
func (m *maintenance) step(ctx context.Context, title string) {
	before := m.deliveries()
	select {
	case <-time.After(m.Phase):
	case <-ctx.Done():
	}
	now := m.deliveries()
	fmt.Fprintf(m.Out, "  %-34s box-0 %5d  box-1 %5d  box-2 %5d\n",
		title, now[0]-before[0], now[1]-before[1], now[2]-before[2])
}

// command sends an operator command to a node. A command that fails is a violation.
func (m *maintenance) command(n *platform.Node, text string) {
	began := time.Now()
	answer := n.Call(text)
	fmt.Fprintf(m.Out, "%-16s %s  (%v)\n", text, answer, time.Since(began).Round(100*time.Microsecond))
	if !strings.HasPrefix(answer, "+OK") {
		m.addViolation("command %s failed: %s", text, answer)
	}
}

// checkReadiness checks that the readiness check of the node returns the wanted HTTP status.
func (m *maintenance) checkReadiness(want int) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + m.Addr + "/health/ready")
	if err != nil {
		m.addViolation("readiness check failed: %v", err)
		return
	}
	resp.Body.Close()
	if resp.StatusCode != want {
		m.addViolation("readiness check returned status %d, want %d", resp.StatusCode, want)
	}
}
