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

// idleCommand is the first argument of the process that opens idle connections. The address of the load balancer and the
// number of connections follow as further arguments.
const idleCommand = "crowd"

// openIdle opens idle connections in a child process, which has file descriptors of its own. The child process ends when
// its standard input is closed, and so at the latest when this process ends.
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
	if _, err := bufio.NewReader(stdout).ReadString('\n'); err != nil { // printed once all are open
		closeAll()
		return nil, fmt.Errorf("process with the idle connections ended before all connections were open: %w", err)
	}
	return closeAll, nil
}

// serveIdle runs in the child process. It opens the idle connections, prints a line, and closes the connections at the
// end of the standard input.
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
