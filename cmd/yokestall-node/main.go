// Command yokestall-node runs one process of a node of the load balancer on the platform. The environment
// variable BALANCER_CONFIG names the configuration file, and the flag -settings an optional settings file.
package main

import (
	"fmt"
	"os"

	"yokestall/internal/node"
)

func main() {
	if err := node.Command(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "yokestall-node:", err)
		os.Exit(1)
	}
}
