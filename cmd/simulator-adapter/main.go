// Command simulator-adapter hosts instances of the decision module on the simulator's protocol: it reads batches of
// events from standard input and writes one reply each to standard output. Exit codes: 0 at the end of the input, 1 at
// input that is no batch.
//
// host.go has the instances.
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
	gcPercent    = 800     // the live heap is small, and the time of collections counts as the module's
	outputBuffer = 1 << 16 // bytes
)

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. An error other than of reading or writing is simulator.ErrFormat.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint16]*policy.Balancer{}}
	reader, writer := simulator.NewReader(in), bufio.NewWriterSize(out, outputBuffer)
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
