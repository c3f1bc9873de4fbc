// Package loopback chooses addresses for processes that tests and rigs start.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Listen listens on a free port of a random address in 127.0.0.0/8. Once the listener is closed, a process can take its
// address, now and after each restart: on a shared address such as 127.0.0.1, the port could go to a connection or a process of
// another rig in between. The error is that of net.Listen.
func Listen() (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)))
}
