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

// maxIdleMemory is the maximum memory in bytes for each idle connection. It includes the client end of the connection if
// the client is in this process.
const maxIdleMemory = 200 << 10

// idleConnections opens HTTP/2 connections that send nothing after the connection preface. The load balancer must still
// serve a client that connects after them.
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
		r.report("each idle connection uses %d bytes of memory, limit %d", each, maxIdleMemory)
	}
	resp, err := d.send(ctx, "/x", "", nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		r.report("client that connected after the idle connections was not served: response %v, error %v", resp, err)
	} else {
		resp.Body.Close()
	}
	return fmt.Sprintf("%d open, %d bytes of memory each, %d file descriptors", r.Connections, each, openDescriptors()), nil
}

// OpenIdle opens n HTTP/2 connections to addr that send nothing after the connection preface. closeAll closes the
// connections.
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
			_, err = framer.ReadFrame() // the SETTINGS frame of the server
		}
		if err != nil {
			closeAll()
			return nil, err
		}
	}
	return closeAll, nil
}
