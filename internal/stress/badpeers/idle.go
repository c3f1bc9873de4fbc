package badpeers

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"

	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/fake/webpeer"
)

// maxIdleMemory is how many bytes an idle connection may use, with its client's end if that is in this process.
const maxIdleMemory = 200 << 10

// idleConnections opens connections over HTTP/2 that send nothing after their preface. A client that comes after them
// has to be served.
func (r *rig) idleConnections(ctx context.Context) (string, error) {
	d, err := r.deploy(webpeer.Protocol{HTTP2: true}, webpeer.Protocol{})
	if err != nil {
		return "", err
	}
	defer d.close()
	collectGarbage()
	before := liveMemory()
	open := r.OpenIdle
	if open == nil {
		open = OpenIdle
	}
	closeAll, err := open(d.addr, r.Connections)
	if err != nil {
		return "", err
	}
	defer closeAll()
	runtime.GC()
	each := (liveMemory() - before) / int64(r.Connections)
	if each > maxIdleMemory {
		r.report("%d bytes an idle connection, %d at most", each, maxIdleMemory)
	}
	resp, err := d.send(ctx, "/x", "", nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		r.report("a client that comes after them: %v, %v", resp, err)
	} else {
		resp.Body.Close()
	}
	return fmt.Sprintf("%d of them, %d bytes each, %d descriptors", r.Connections, each, openDescriptors()), nil
}

// OpenIdle opens n connections over HTTP/2 that send nothing after their preface. closeAll closes them.
func OpenIdle(addr string, n int) (closeAll func() error, err error) {
	var conns []io.Closer
	closeAll = func() error {
		for _, conn := range conns {
			conn.Close()
		}
		return nil
	}
	for range n {
		conn, framer, err := rawpeer.OpenHTTP2(addr)
		if err == nil {
			conns = append(conns, conn)
			_, err = framer.ReadFrame() // the server's settings
		}
		if err != nil {
			closeAll()
			return nil, err
		}
	}
	return closeAll, nil
}
