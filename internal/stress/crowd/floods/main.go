// Command floods runs the clients of a flood, whose options its argument has (crowd.FloodProcess), until its standard input ends,
// and then prints the number of requests that were sent.
package main

import (
	"fmt"
	"io"
	"os"

	"yokestall/internal/stress/crowd"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "floods: the argument must have the options of a flood")
		os.Exit(2)
	}
	options, err := crowd.ParseFloodOptions(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "floods:", err)
		os.Exit(2)
	}
	flood := crowd.StartFlood(options)
	io.Copy(io.Discard, os.Stdin)
	flood.Stop()
	fmt.Println(flood.Sent.Load())
}
