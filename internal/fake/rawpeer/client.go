package rawpeer

import (
	"bytes"
	"io"
	"net"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Fields returns a field block (RFC 7541) of names and values by turns.
func Fields(namesAndValues ...string) []byte {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for i := 0; i+1 < len(namesAndValues); i += 2 {
		encoder.WriteField(hpack.HeaderField{Name: namesAndValues[i], Value: namesAndValues[i+1]})
	}
	return block.Bytes()
}

// OpenHTTP2 opens a connection and sends its preface and settings (RFC 9113, 3.4). The framer writes invalid frames
// too.
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
