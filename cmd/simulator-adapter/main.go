// Command simulator-adapter runs instances of the load balancer's policy (package policy) for the simulator: it reads
// batches of events in the simulator's binary protocol from standard input and writes one reply to each batch to standard
// output. It exits with 0 at the end of the input, and with 1 if it reads a malformed batch or can't read or write.
//
// host.go passes the events to the instances.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"yokestall/internal/simulator"
	"yokestall/policy"
)

const (
	// gcPercent makes garbage collections rare: the live heap is small, and the simulator counts the time of collections
	// as the policy's.
	gcPercent = 800

	outputBufferSize = 1 << 16 // bytes
)

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends. Errors about the input wrap simulator.ErrFormat; errors of writing do not.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint16]*policy.Balancer{}}
	reader, writer := simulator.NewReader(in), bufio.NewWriterSize(out, outputBufferSize)
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) && !errors.Is(err, simulator.ErrFormat) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Reset()
		if err := h.handleBatch(batch); err != nil {
			return err
		}
		if err := h.reply.WriteTo(writer, batch.Number); err != nil {
			return err
		}
	}
}
