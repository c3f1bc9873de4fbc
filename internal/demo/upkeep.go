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

// MaintenanceOptions are what the demo of daily operation can be told.
type MaintenanceOptions struct {
	Out         io.Writer
	NodeCommand []string // the command that runs the platform's node
	NodeEnv     []string // for it
	Clients     int
	Phase       time.Duration // length of each step
}

const upkeepSettings = `{"Classes": [
	{"Name": "pay", "Effect": "side_effect", "DeadlineMs": 1900, "PromiseMs": 750, "Importance": 8}],
	"Limits": {"MaxAttempts": 3, "MaxRetryAfterMs": 600, "RetryAfter": true, "Cancel": true}, "Zones": ["a"],
	"Contract": {"ColdFrom": 0.4, "ColdMs": 2000, "FallMultiple": 3, "FallMs": 1000, "DrainGraceMs": 500}}`

// Maintenance shows a node in daily operation under load: a server is taken out, restarted and called
// back; the node is drained and returns; its process is replaced by another beside it. It gives the
// rules that were broken.
func Maintenance(ctx context.Context, o MaintenanceOptions) (broken []string, err error) {
	u := &upkeep{MaintenanceOptions: o}
	if u.Platform, err = platform.New(platform.Options{
		Command: o.NodeCommand, Env: o.NodeEnv, Passed: true, Settings: upkeepSettings, MemoryMB: 64, Sockets: 384,
		Boxes: 3, Work: 5 * time.Millisecond,
	}); err != nil {
		return nil, err
	}
	defer u.Close()
	node, err := u.Start()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	clients := platform.Drive(ctx, u.Addr, o.Clients, 5*time.Millisecond)
	err = u.show(ctx, node)
	stop()
	for _, l := range clients.Wait() {
		u.breaks("no answer to %s", l)
	}
	if n := clients.Failed.Load(); n > 0 {
		u.breaks("%d requests failed", n)
	}
	fmt.Fprintf(o.Out, "\n%d served, %d refused, %d failed, %d sent again; rules broken: %d\n",
		clients.Served.Load(), clients.Refused.Load(), clients.Failed.Load(), clients.Again.Load(), len(u.broken))
	for _, b := range u.broken {
		fmt.Fprintln(o.Out, "  ", b)
	}
	return u.broken, err
}

type upkeep struct {
	MaintenanceOptions
	*platform.Platform
	broken []string
}

func (u *upkeep) breaks(format string, args ...any) {
	u.broken = append(u.broken, fmt.Sprintf(format, args...))
}

func (u *upkeep) seen() (n [3]int) {
	for i := range n {
		n[i] = u.Seen(i)
	}
	return n
}

// step lets the load go on and prints what has reached the boxes meanwhile.
func (u *upkeep) step(ctx context.Context, what string) {
	before := u.seen()
	select {
	case <-time.After(u.Phase):
	case <-ctx.Done():
	}
	now := u.seen()
	fmt.Fprintf(u.Out, "  %-34s box-0 %5d  box-1 %5d  box-2 %5d\n", what, now[0]-before[0], now[1]-before[1], now[2]-before[2])
}

// call makes an operator's call, which has to be answered with yes.
func (u *upkeep) call(n *platform.Node, text string) {
	began := time.Now()
	answer := n.Call(text)
	fmt.Fprintf(u.Out, "%-16s %s  (%v)\n", text, answer, time.Since(began).Round(100*time.Microsecond))
	if !strings.HasPrefix(answer, "+OK") {
		u.breaks("%s: %s", text, answer)
	}
}

// ready checks what the front would see.
func (u *upkeep) ready(want int) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + u.Addr + "/health/ready")
	if err != nil {
		u.breaks("readiness: %v", err)
		return
	}
	resp.Body.Close()
	if resp.StatusCode != want {
		u.breaks("readiness is %d, want %d", resp.StatusCode, want)
	}
}

// show plays the steps.
func (u *upkeep) show(ctx context.Context, node *platform.Node) error {
	u.step(ctx, "all serve")
	u.call(node, "DETACH box-1")
	time.Sleep(drainRule) // the rule's grace, in which sends that were decided may still come
	out := u.seen()[1]
	u.step(ctx, "box-1 is out")
	u.Boxes[1].Down()
	if err := u.Boxes[1].Up(); err != nil {
		return err
	}
	next, err := u.Start()
	if err != nil {
		return err
	}
	fmt.Fprintln(u.Out, "another process beside the first, which is told to stop (box-1 is restarted meanwhile)")
	if err := node.Stop(); err != nil {
		u.breaks("the first process: %v", err)
	}
	u.step(ctx, "the second process serves")
	if got := u.seen()[1] - out; got > 0 {
		u.breaks("%d requests reached box-1 while it was out", got)
	}
	u.call(next, "ATTACH box-1")
	u.step(ctx, "box-1 is back, cold")
	if u.seen()[1] == out {
		u.breaks("nothing reached box-1 after its return")
	}
	u.call(next, "LAMEDUCK")
	u.ready(http.StatusServiceUnavailable)
	u.step(ctx, "drained; who asks is served")
	u.call(next, "REJOIN")
	u.ready(http.StatusOK)
	u.step(ctx, "back at work")
	return ctx.Err()
}
