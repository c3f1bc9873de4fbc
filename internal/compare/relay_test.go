package compare

import (
	"net"
	"testing"

	"yokestall/internal/testutil"
)

// relayBufferBytes is the size of a relay's buffer for each direction of a connection.
const relayBufferBytes = 4 << 10

// startRelay starts a proxy that copies bytes without reading HTTP: the least that a proxy can cost.
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

// relay copies until either connection ends, and closes both. It doesn't use io.Copy, which would splice in the kernel
// without reading.
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
