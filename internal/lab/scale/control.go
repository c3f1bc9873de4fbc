package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Op is an operation that a process of a run carries out.
type Op string

// The operations. Those that stop or start nodes are for processes with hollow nodes.
const (
	OpReport    Op = "report"  // return what the process has used
	OpStates    Op = "states"  // return what its nodes act on
	OpAwait     Op = "await"   // likewise, once all act on a version or after Timeout
	OpPartition Op = "apart"   // begin a partition from the other regions
	OpHeal      Op = "join"    // end it
	OpRestart   Op = "restart" // restart Nodes
	OpStop      Op = "stop"    // stop all nodes
	OpStart     Op = "start"   // start all nodes that are stopped
)

// Command is an operation for a process of a run: a line of JSON on its standard input.
type Command struct {
	Op          Op            `json:"op"`
	Version     uint64        `json:"number,omitempty"` // of await
	Timeout     time.Duration `json:"for,omitempty"`    // of await
	Nodes       []string      `json:"nodes,omitempty"`  // of restart
	EmptyStores bool          `json:"empty,omitempty"`  // of restart and start: remove the nodes' stores before
}

// Reply is the reply to a command, or without content the sign that a process is ready: a line of JSON on its standard
// output.
type Reply struct {
	Error  string  `json:"error,omitempty"`
	Report *Report `json:"report,omitempty"`
	States []State `json:"states,omitempty"`
}

// NodeController stops and starts the nodes of a process.
type NodeController interface {
	Restart(ctx context.Context, nodes []string, emptyStores bool) error
	Stop()
	Start(ctx context.Context, emptyStores bool) error
}

// CommandServer carries out the commands of the process that started this one.
type CommandServer struct {
	Meter  *Meter
	States *States
	Nodes  NodeController // nil: the process is one complete node
}

// ExitTimeout bounds the graceful shutdown of a process after the one that started it has ended.
const ExitTimeout = 5 * time.Second

// Serve sends an empty reply once, as the sign that the process is ready, and then the reply to each command, until ctx
// ends or in does. The process that sends commands has the other end of in: however that process ends, in ends, and
// disconnected is called at once. The error is that of in or out, other than io.EOF.
func (c *CommandServer) Serve(ctx context.Context, in io.Reader, out io.Writer, disconnected func()) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	commands, failed := make(chan Command), make(chan error, 1)
	go func() {
		defer disconnected()
		if err := readCommands(ctx, in, commands); err != nil {
			failed <- err
			stop()
		}
	}()
	e := json.NewEncoder(out)
	if err := e.Encode(Reply{}); err != nil {
		return err
	}
	for {
		select {
		case command := <-commands:
			if err := e.Encode(c.reply(ctx, command)); err != nil {
				return err
			}
		case <-ctx.Done():
			return readError(failed)
		}
	}
}

// readCommands sends the commands of in to a channel until ctx ends, or in fails or ends: then it returns that error.
func readCommands(ctx context.Context, in io.Reader, commands chan<- Command) error {
	d := json.NewDecoder(in)
	for {
		var command Command
		if err := d.Decode(&command); err != nil {
			return err
		}
		select {
		case commands <- command:
		case <-ctx.Done():
			return nil
		}
	}
}

// readError returns the error by which reading commands has ended; nil: it has not, or at the input's regular end.
func readError(failed <-chan error) error {
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

func (c *CommandServer) reply(ctx context.Context, command Command) (r Reply) {
	if err := c.execute(ctx, command, &r); err != nil {
		r.Error = fmt.Sprintf("%s: %v", command.Op, err)
	}
	return r
}

// execute carries out a command and puts its results into r. Without Nodes it knows the operations of any process
// alone.
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
	return c.control(ctx, command)
}

// control carries out a command that stops or starts hollow nodes.
func (c *CommandServer) control(ctx context.Context, command Command) error {
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
