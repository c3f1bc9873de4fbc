// Command run plays the rig of internal/stress/badpeers and exits with 1 if anything broke.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"strconv"

	"yokestall/internal/stress/badpeers"
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "crowd" { // of crowd below
		if err := idle(os.Args[2], os.Args[3]); err != nil {
			fmt.Fprintln(os.Stderr, "abuse: crowd:", err)
			os.Exit(1)
		}
		return
	}
	o := badpeers.Options{Out: os.Stdout, Log: slog.New(slog.DiscardHandler), Crowd: crowd}
	flag.IntVar(&o.Requests, "requests", 20_000, "mixed faults: `N` requests; 0: not at all")
	flag.IntVar(&o.Largest, "largest", 100<<20, "bytes of their largest body")
	flag.IntVar(&o.Connections, "connections", 1000, "idle HTTP/2 connections; each takes a descriptor here and one in the clients' process")
	flag.Int64Var(&o.Megabytes, "megabytes", 1024, "through each way in which sides speak, each way")
	flag.IntVar(&o.Resets, "resets", 200_000, "streams opened and reset")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	found, err := badpeers.Run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "abuse:", err)
	}
	if err != nil || len(found) > 0 {
		os.Exit(1)
	}
}

// crowd has this program open the connections in a process of its own. It ends with its input,
// and so with this one.
func crowd(addr string, n int) (leave func() error, err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "crowd", addr, strconv.Itoa(n))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	leave = func() error {
		in.Close()
		return cmd.Wait()
	}
	if _, err := bufio.NewReader(out).ReadString('\n'); err != nil { // all are open
		leave()
		return nil, fmt.Errorf("the clients' process: %w", err)
	}
	return leave, nil
}

// idle is the clients' process.
func idle(addr, count string) error {
	n, err := strconv.Atoi(count)
	if err != nil {
		return err
	}
	leave, err := badpeers.Crowd(addr, n)
	if err != nil {
		return err
	}
	defer leave()
	fmt.Println("open")
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}
