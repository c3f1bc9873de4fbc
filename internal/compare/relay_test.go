package compare

import (
	"net"
	"testing"

	"yokestall/internal/testutil"
)

// relayBufferBytes is the size of the buffer of the relay for each direction of a connection.
const relayBufferBytes = 4 << 10

// startRelay starts a TCP proxy that copies bytes without parsing HTTP, and returns its address. The costs of the relay are
// a lower bound for the costs of a proxy.
func startRelay(tb testing.TB, addrs []string) string {
	l := testutil.Listen(tb)
	go func() {
		for i := 0; ; i++ {
			downstream, err := l.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", addrs[i%len(addrs)])
			if err != nil {
				downstream.Close()
				continue
			}
			go relay(upstream, downstream)
			go relay(downstream, upstream)
		}
	}()
	return l.Addr().String()
}

// relay copies bytes until either connection ends, and closes both. It does not use io.Copy, because that would splice the
// data in the kernel without reading it.
func relay(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
