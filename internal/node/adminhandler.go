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

// The errors that PING returns from a process that is not ready or not serving. The admin API sends their texts to
// operators. A process that is not ready may already serve clients by its initial list, or without any list.
var (
	errNotReady   = errors.New("not ready: no usable response from the discovery service yet")
	errNotServing = errors.New("not serving: another process of the node accepts the clients")
)

// adminHandler executes operators' commands.
type adminHandler struct {
	background context.Context // cancelled when the node stops
	endpoints  *endpointWatcher
	httpServer *h1server.Server
	restart    *restartCoordinator // nil if the node always has a single process
	log        *slog.Logger
}

var (
	_ adminapi.Handler      = (*adminHandler)(nil)
	_ hotrestart.AdminState = (*adminHandler)(nil)
)

// Handle implements adminapi.Handler.
func (a *adminHandler) Handle(ctx context.Context, c adminapi.Command) (string, error) {
	if c.Ping {
		return a.ping()
	}
	change := adminstate.Change{Operation: c.Operation, InstanceID: c.InstanceID, RequestedAtMs: time.Now().UnixMilli()}
	if err := a.commit(ctx, change); err != nil {
		return "", fmt.Errorf("%s %s: %w", c.Operation, c.InstanceID, err)
	}
	a.log.Info("administrative command executed", "operation", c.Operation.String(), "instance_id", c.InstanceID)
	return a.status(), nil
}

// ping returns the node's status if this process is ready and serving, and otherwise an error that says which it is not.
func (a *adminHandler) ping() (string, error) {
	if !a.httpServer.IsReady() {
		return "", errNotReady
	}
	if !a.restart.serving() {
		return "", errNotServing
	}
	return a.status(), nil
}

// commit applies a change in all processes of the node.
func (a *adminHandler) commit(ctx context.Context, c adminstate.Change) error {
	if a.restart != nil {
		return a.restart.commit(ctx, c)
	}
	if _, err := a.Validate(c); err != nil {
		return err
	}
	a.Apply(c)
	return nil
}

// Validate implements hotrestart.AdminState.
func (a *adminHandler) Validate(c adminstate.Change) (effective bool, err error) {
	return a.endpoints.checkChange(c)
}

// Apply implements hotrestart.AdminState.
func (a *adminHandler) Apply(c adminstate.Change) {
	a.endpoints.applyChange(c)
	switch c.Operation {
	case adminstate.LameDuck:
		a.httpServer.EnterLameDuck(a.background)
	case adminstate.Rejoin:
		a.httpServer.ExitLameDuck()
	}
}

// MinimalChanges implements hotrestart.AdminState.
func (a *adminHandler) MinimalChanges() []adminstate.Change { return a.endpoints.adminChanges() }

// status returns the administrative state of the node in the text form of the admin API.
func (a *adminHandler) status() string {
	detached, lameDuck := a.endpoints.adminStatus()
	text := "serving"
	if lameDuck {
		text = "drained"
	}
	if len(detached) > 0 {
		text += ", out of service: " + strings.Join(detached, " ")
	}
	return text
}
