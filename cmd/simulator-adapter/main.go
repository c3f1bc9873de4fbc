// Command simulator-adapter hosts instances of the decision module on the simulator's
// wire: batches of events on standard input, one reply each on standard output.
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

func main() {
	debug.SetGCPercent(800) // the live heap is small; collections are metered
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint16]*policy.Balancer{}}
	reader, writer := simulator.NewReader(in), bufio.NewWriterSize(out, 1<<16)
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) && !errors.Is(err, simulator.ErrFormat) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Reset()
		if err := h.batch(batch); err != nil {
			return err
		}
		if err := h.reply.WriteTo(writer, batch.Number); err != nil {
			return err
		}
	}
}
