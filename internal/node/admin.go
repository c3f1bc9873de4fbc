package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"yokestall/internal/adminapi"
	"yokestall/internal/adminstate"
	"yokestall/internal/downstream/h1server"
	"yokestall/internal/hotrestart"
)

// admin carries out what operators ask for. It implements adminapi.Handler and hotrestart.Admin.
type admin struct {
	ctx    context.Context // the node's life
	disco  *endpointWatcher
	front  *h1server.Front
	shared *shared // nil: no other process can be there
	log    *slog.Logger
}

// Handle implements adminapi.Handler.
func (a *admin) Handle(ctx context.Context, c adminapi.Call) (string, error) {
	if c.Ping {
		switch {
		case !a.front.Takes():
			return "", errors.New("no list of servers yet: no clients are taken")
		case !a.shared.serving():
			return "", errors.New("another process of the node takes the clients")
		}
		return a.status(), nil
	}
	change := adminstate.Change{Op: c.Change, Server: c.Server, AtMs: time.Now().UnixMilli()}
	if err := a.carryOut(ctx, change); err != nil {
		return "", fmt.Errorf("%s %s: %w", c.Change, c.Server, err)
	}
	a.log.Info("operators", "call", c.Change.String(), "server", c.Server)
	return a.status(), nil
}

func (a *admin) carryOut(ctx context.Context, c adminstate.Change) error {
	if a.shared != nil {
		return a.shared.commit(ctx, c, a)
	}
	if _, err := a.Check(c); err != nil {
		return err
	}
	a.Take(c)
	return nil
}

// Check implements hotrestart.Admin.
func (a *admin) Check(c adminstate.Change) (differs bool, err error) { return a.disco.checkChange(c) }

// Changes implements hotrestart.Admin.
func (a *admin) Changes() []adminstate.Change { return a.disco.adminChanges() }

// Take implements hotrestart.Admin.
func (a *admin) Take(c adminstate.Change) {
	a.disco.applyChange(c)
	switch c.Op {
	case adminstate.LameDuck:
		a.front.Empty(a.ctx)
	case adminstate.Rejoin:
		a.front.Refill()
	}
}

var _ hotrestart.Admin = (*admin)(nil)

// status is what an answer says of the node.
func (a *admin) status() string {
	out, lame := a.disco.adminStatus()
	text := "serving"
	if lame {
		text = "drained"
	}
	if len(out) > 0 {
		text += ", out of service: " + strings.Join(out, " ")
	}
	return text
}
