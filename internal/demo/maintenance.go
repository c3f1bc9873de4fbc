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
	NodeCommand []string // runs the platform's node
	NodeEnv     []string // for it
	Clients     int
	Phase       time.Duration // length of each step
}

const (
	// maintenancePause is between an answer and a client's next request, and the time in which an endpoint answers.
	maintenancePause = 5 * time.Millisecond
	// nodeMemoryMB and nodeSockets are what the platform lets the node use.
	nodeMemoryMB = 64
	nodeSockets  = 384
	// maintainedEndpoints is how many endpoints there are; detachedEndpoint is the index of the one that is taken out.
	maintainedEndpoints = 3
	detachedEndpoint    = 1
)

const maintenanceSettings = `{"Classes": [
	{"Name": "pay", "Effect": "side_effect", "DeadlineMs": 1900, "PromiseMs": 750, "Importance": 8}],
	"Limits": {"MaxAttempts": 3, "MaxRetryAfterMs": 600, "RetryAfter": true, "Cancel": true}, "Zones": ["a"],
	"Contract": {"ColdFrom": 0.4, "ColdMs": 2000, "FallMultiple": 3, "FallMs": 1000, "DrainGraceMs": 500}}`

// Maintenance shows a node in daily operation under load: an endpoint is detached, restarted and attached; the node
// goes into lame duck mode and returns; its process is replaced by another beside it. It returns the rules that were
// broken.
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
		m.violation("no answer to %s", request)
	}
	if n := clients.Failed.Load(); n > 0 {
		m.violation("%d requests failed", n)
	}
	fmt.Fprintf(o.Out, "\n%d served, %d refused, %d failed, %d sent again; rules broken: %d\n", clients.Served.Load(),
		clients.Rejected.Load(), clients.Failed.Load(), clients.Resent.Load(), len(m.violations))
	for _, v := range m.violations {
		fmt.Fprintln(o.Out, "  ", v)
	}
	return m.violations, err
}

// maintenance is a run of the demo.
type maintenance struct {
	MaintenanceOptions
	*platform.Platform
	violations []string
}

// run runs the steps.
func (m *maintenance) run(ctx context.Context, node *platform.Node) error {
	m.step(ctx, "all serve")
	m.command(node, "DETACH box-1")
	time.Sleep(drainGrace) // attempts that were decided before may still arrive
	atDetach := m.deliveries()[detachedEndpoint]
	m.step(ctx, "box-1 is out")
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
		"another process beside the first, which is told to stop (box-1 is restarted meanwhile)")
	if err := node.Stop(); err != nil {
		m.violation("the first process: %v", err)
	}
	m.step(ctx, "the second process serves")
	if n := m.deliveries()[detachedEndpoint] - atDetach; n > 0 {
		m.violation("%d requests reached box-1 while it was out", n)
	}
	m.command(successor, "ATTACH box-1")
	m.step(ctx, "box-1 is back, cold")
	if m.deliveries()[detachedEndpoint] == atDetach {
		m.violation("nothing reached box-1 after its return")
	}
	m.command(successor, "LAMEDUCK")
	m.checkReadiness(http.StatusServiceUnavailable)
	m.step(ctx, "drained; who asks is served")
	m.command(successor, "REJOIN")
	m.checkReadiness(http.StatusOK)
	m.step(ctx, "back at work")
	return ctx.Err()
}

// violation adds a rule that was broken.
func (m *maintenance) violation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// deliveries returns how many requests have reached each endpoint.
func (m *maintenance) deliveries() (n [maintainedEndpoints]int) {
	for i := range n {
		n[i] = m.Received(i)
	}
	return n
}

// step waits while the load goes on, and prints what reached the endpoints meanwhile.
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

// command sends an operator's command, which must succeed.
func (m *maintenance) command(n *platform.Node, text string) {
	began := time.Now()
	answer := n.Call(text)
	fmt.Fprintf(m.Out, "%-16s %s  (%v)\n", text, answer, time.Since(began).Round(100*time.Microsecond))
	if !strings.HasPrefix(answer, "+OK") {
		m.violation("%s: %s", text, answer)
	}
}

// checkReadiness checks the status of the node's readiness check.
func (m *maintenance) checkReadiness(want int) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + m.Addr + "/health/ready")
	if err != nil {
		m.violation("readiness: %v", err)
		return
	}
	resp.Body.Close()
	if resp.StatusCode != want {
		m.violation("readiness is %d, want %d", resp.StatusCode, want)
	}
}
