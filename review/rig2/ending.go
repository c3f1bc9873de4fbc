package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// endingCase: a program is told to end while clients write their requests slowly. A server begins to drain meanwhile, finishes
// what it has by the end of the grace, and ends some time after.
func endingCase(r *rig) {
	const slowClients, pieces = 24, 18
	w := newWorld(r)
	servers, endpoints := w.startServers(3, sameCell)
	for _, s := range servers {
		s.delay.Store(int64(150 * time.Millisecond))
	}
	listen := r.freeAddr()
	r.write("clusters/rooms.toml", clusterFile("rooms", endpoints...))
	program := strings.ReplaceAll(keyedProgram, "LISTEN", listen)
	program = strings.Replace(program, "[upstream]", "drain = \"10s\"\n\n[upstream]", 1)
	program = strings.Replace(program, "effect = \"safe\"", "effect = \"unsafe\"", 1)
	path := r.write("yokestall.toml", program)
	p := r.start("serve", nil, "yokestall", "serve", "-c", path)
	r.await("the program", 10*time.Second, r.newClient("c", listen).ready)
	var clients sync.WaitGroup
	var unserved atomic.Int64
	for i := range slowClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			if r.writeSlowly(listen, fmt.Sprintf("slow-%d", i), pieces, 100*time.Millisecond) != http.StatusOK {
				unserved.Add(1)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	if r.trouble {
		endpoints[0] = servers[0].endpoint("kigali-room1", 0, "draining")
		r.write("clusters/rooms.toml", clusterFile("rooms", endpoints...))
		r.logf("the file says that app-1 drains")
		time.AfterFunc(1650*time.Millisecond, func() {
			r.logf("app-1 ends")
			servers[0].http.Close()
		})
	}
	told := time.Now().Add(500 * time.Millisecond) // the poll
	clients.Wait()
	if unserved.Load() == slowClients {
		r.fatalf("no request was served")
	}
	if !r.trouble {
		return
	}
	if late := servers[0].arrivalsAfter(told.Add(550 * time.Millisecond)); len(late) > 0 {
		r.broken("app-1 got %d new requests, the first %.2f s after a poll would have told that it drains; %d were not served",
			len(late), late[0].at.Sub(told).Seconds(), unserved.Load())
	}
}

// writeSlowly sends a payment whose head comes in pieces, and returns the status of its answer; 0 without one.
func (r *rig) writeSlowly(addr, id string, pieces int, pause time.Duration) (status int) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		r.cannot(err)
		return 0
	}
	defer nc.Close()
	r.logf("client begins %s", id)
	io.WriteString(nc, "POST /payment HTTP/1.1\r\nHost: x\r\n")
	for n := range pieces {
		time.Sleep(pause)
		fmt.Fprintf(nc, "X-Piece-%d: %d\r\n", n, n)
	}
	fmt.Fprintf(nc, "X-Request-ID: %s\r\nX-Timeout-Ms: 1900\r\nContent-Length: 8\r\n\r\none room", id)
	r.logf("client has written %s", id)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		r.logf("client got for %s: %v", id, err)
		return 0
	}
	resp.Body.Close()
	r.logf("client got for %s: %d", id, resp.StatusCode)
	return resp.StatusCode
}
