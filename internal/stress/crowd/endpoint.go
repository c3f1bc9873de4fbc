package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
)

const (
	// answerChunks and answerChunkBytes give a long answer 1 MiB.
	answerChunks     = 64
	answerChunkBytes = 16 << 10
)

// uploadPath is the path of requests that get a short answer, whatever their method.
const uploadPath = "/pay"

// ServeEndpoint serves a connection to an endpoint of a crowd's server until it ends. It answers GET requests with 1 MiB in
// chunks, and others, and those to /pay, with a short body once it has read theirs.
func ServeEndpoint(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.Method == http.MethodGet && r.URL.Path != uploadPath {
			err = writeLongAnswer(conn)
		} else {
			io.Copy(io.Discard, r.Body)
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		if err != nil {
			return
		}
	}
}

// writeLongAnswer writes an answer in chunks.
func writeLongAnswer(w io.Writer) error {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", answerChunkBytes, bytes.Repeat([]byte("x"), answerChunkBytes))
	if _, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	for range answerChunks {
		if _, err := io.WriteString(w, chunk); err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}
