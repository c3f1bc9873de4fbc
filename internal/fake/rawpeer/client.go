package rawpeer

import (
	"bytes"
	"io"
	"net"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Fields returns a field block (RFC 7541). Its arguments are names and values in turn.
func Fields(namesAndValues ...string) []byte {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for i := 0; i+1 < len(namesAndValues); i += 2 {
		encoder.WriteField(hpack.HeaderField{Name: namesAndValues[i], Value: namesAndValues[i+1]})
	}
	return block.Bytes()
}

// OpenHTTP2 opens a connection and sends the connection preface with empty settings (RFC 9113, 3.4). The returned framer
// also writes invalid frames.
func OpenHTTP2(addr string) (net.Conn, *http2.Framer, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	conn.SetDeadline(time.Now().Add(connTimeout))
	framer := http2.NewFramer(conn, conn)
	framer.AllowIllegalWrites = true
	if _, err = io.WriteString(conn, http2.ClientPreface); err == nil {
		err = framer.WriteSettings()
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, framer, nil
}
