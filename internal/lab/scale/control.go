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

// The operations. OpRestart, OpStop and OpStart are only for processes with hollow nodes.
const (
	OpReport    Op = "report"  // return the resources that the process has used
	OpStates    Op = "states"  // return the states of the process's nodes
	OpAwait     Op = "await"   // return the states once all nodes act on Version, or after Timeout
	OpPartition Op = "apart"   // begin a partition between the regions
	OpHeal      Op = "join"    // end the partition
	OpRestart   Op = "restart" // restart the nodes in Nodes
	OpStop      Op = "stop"    // stop all nodes
	OpStart     Op = "start"   // start all nodes that are stopped
)

// Command is an operation for a process of a run: a line of JSON on its standard input.
type Command struct {
	Op          Op            `json:"op"`
	Version     uint64        `json:"number,omitempty"` // OpAwait: the version to wait for
	Timeout     time.Duration `json:"for,omitempty"`    // OpAwait: how long to wait
	Nodes       []string      `json:"nodes,omitempty"`  // OpRestart: names of the nodes
	EmptyStores bool          `json:"empty,omitempty"`  // OpRestart, OpStart: remove the nodes' stores before the start
}

// Reply is a process's reply to a command: a line of JSON on its standard output. An empty reply signals that the
// process is ready.
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
	Nodes  NodeController // nil if the process is one complete node
}

// ExitTimeout bounds the graceful shutdown of a process after its parent process has ended.
const ExitTimeout = 5 * time.Second

// Serve writes an empty reply to signal that the process is ready, and then replies to each command until ctx or in
// ends. The other end of in belongs to the process that sends commands. When that process ends for any reason, in ends
// too, and disconnected is called at once. Serve returns an error of in or out, except io.EOF.
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

// readCommands sends the commands of in to a channel until ctx ends. If in fails or ends before, it returns the error of
// reading, which is io.EOF at the end of in.
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

// readError returns the error that ended the reading of commands. It returns nil if reading has not ended, or if it ended
// with io.EOF.
func readError(failed <-chan error) error {
	select {
	case err := <-failed:
		if errors.Is(err, io.EOF) {
			return nil
		}
		return fmt.Errorf("reading commands from the input: %w", err)
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

// execute carries out a command and stores its results in r. If Nodes is nil, execute accepts only the operations that
// every process supports.
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
		return errors.New("operation is supported only by processes with hollow nodes")
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
	return errors.New("unknown operation")
}
