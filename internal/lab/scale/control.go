package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Op is what a process of a run is asked to do.
type Op string

// The operations.
const (
	OpReport    Op = "report"  // tell what the process has used
	OpStates    Op = "states"  // tell what its nodes act on
	OpAwait     Op = "await"   // likewise, once all act on a version
	OpPartition Op = "apart"   // lose the other regions
	OpHeal      Op = "join"    // have them back
	OpRestart   Op = "restart" // restart nodes: hollow ones alone, as the following
	OpStop      Op = "stop"    // stop all nodes
	OpStart     Op = "start"   // start those that are stopped
)

// Command asks a process of a run for something, as a line of JSON on its standard input.
type Command struct {
	Op          Op            `json:"op"`
	Version     uint64        `json:"number,omitempty"` // await
	Timeout     time.Duration `json:"for,omitempty"`    // await: at most
	Nodes       []string      `json:"nodes,omitempty"`  // restart
	EmptyStores bool          `json:"empty,omitempty"`  // restart, start: on emptied stores
}

// Reply is the answer to a command, or word that the process is ready, as a line on its standard output.
type Reply struct {
	Error  string  `json:"error,omitempty"`
	Report *Report `json:"report,omitempty"`
	States []State `json:"states,omitempty"`
}

// NodeController are nodes that can be stopped and started by themselves.
type NodeController interface {
	Restart(ctx context.Context, nodes []string, empty bool) error
	Stop()
	Start(ctx context.Context, empty bool) error
}

// CommandServer answers the commands of the process that started this one.
type CommandServer struct {
	Meter  *Meter
	States *States
	Nodes  NodeController // nil: the process is a node of its own
}

// ExitTimeout is how long a process may take to end in good order once the one that started it is gone.
const ExitTimeout = 5 * time.Second

// Serve says that the process is ready, and answers commands until their end, or ctx. Whoever sends them holds the
// pipe: when that process ends, however it does, so do the commands; gone is called at once then.
func (c *CommandServer) Serve(ctx context.Context, in io.Reader, out io.Writer, gone func()) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	commands, failed := make(chan Command), make(chan error, 1)
	go func() {
		defer gone()
		d := json.NewDecoder(in)
		for {
			var command Command
			if err := d.Decode(&command); err != nil {
				failed <- err
				stop()
				return
			}
			select {
			case commands <- command:
			case <-ctx.Done():
				return
			}
		}
	}()
	e := json.NewEncoder(out)
	if err := e.Encode(Reply{}); err != nil {
		return err
	}
	for {
		select {
		case command := <-commands:
			reply := c.reply(ctx, command)
			if err := e.Encode(reply); err != nil {
				return err
			}
		case <-ctx.Done():
			select {
			case err := <-failed:
				if errors.Is(err, io.EOF) {
					return nil
				}
				return fmt.Errorf("commands: %w", err)
			default:
				return nil
			}
		}
	}
}

func (c *CommandServer) reply(ctx context.Context, command Command) (r Reply) {
	err := c.execute(ctx, command, &r)
	if err != nil {
		r.Error = fmt.Sprintf("%s: %v", command.Op, err)
	}
	return r
}

func (c *CommandServer) execute(ctx context.Context, command Command, r *Reply) error {
	switch command.Op {
	case OpReport:
		report, err := c.Meter.Report()
		list, _, _ := c.States.Snapshot(0)
		report.Nodes = len(list)
		r.Report = &report
		return err
	case OpStates:
		r.States, _, _ = c.States.Snapshot(0)
		return nil
	case OpAwait:
		ctx, stop := context.WithTimeout(ctx, command.Timeout)
		defer stop()
		r.States = c.States.Await(ctx, command.Version)
		return nil
	case OpPartition:
		c.Meter.SetPartitioned(true)
		return nil
	case OpHeal:
		c.Meter.SetPartitioned(false)
		return nil
	}
	if c.Nodes == nil {
		return errors.New("is of hollow nodes alone")
	}
	switch command.Op {
	case OpRestart:
		return c.Nodes.Restart(ctx, command.Nodes, command.EmptyStores)
	case OpStop:
		c.Nodes.Stop()
		return nil
	case OpStart:
		return c.Nodes.Start(ctx, command.EmptyStores)
	}
	return errors.New("no such operation")
}
