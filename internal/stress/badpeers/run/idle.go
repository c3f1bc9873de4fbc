package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"

	"yokestall/internal/stress/badpeers"
)

// idleCommand is the first argument of the process that opens idle connections; an address and a number follow it.
const idleCommand = "crowd"

// openIdle opens idle connections in a process of its own, which has descriptors of its own. That process ends with
// its standard input, and so with this one.
func openIdle(addr string, n int) (closeAll func() error, err error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(executable, idleCommand, addr, strconv.Itoa(n))
	command.Stderr = os.Stderr
	stdin, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	closeAll = func() error {
		stdin.Close()
		return command.Wait()
	}
	if _, err := bufio.NewReader(stdout).ReadString('\n'); err != nil { // a line comes once all are open
		closeAll()
		return nil, fmt.Errorf("the clients' process: %w", err)
	}
	return closeAll, nil
}

// serveIdle is that process: it opens the connections, prints a line and closes them at the end of its input.
func serveIdle(addr, count string) error {
	n, err := strconv.Atoi(count)
	if err != nil {
		return err
	}
	closeAll, err := badpeers.OpenIdle(addr, n)
	if err != nil {
		return err
	}
	defer closeAll()
	fmt.Println("open")
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}
