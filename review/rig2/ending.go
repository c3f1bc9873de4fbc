package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// endingCase: a program is told to end while clients write their requests slowly, and a server begins to drain meanwhile.
func endingCase(r *rig) {
	const slowClients, bodyBytes, pieces = 40, 30_000, 18
	w := newWorld(r)
	servers, endpoints := w.startServers(3, sameCell)
	listen := r.freeAddr()
	r.write("clusters/rooms.toml", clusterFile("rooms", endpoints...))
	program := strings.ReplaceAll(keyedProgram, "LISTEN", listen)
	program = strings.Replace(program, "tenants = \"tenants.toml\"\n", "", 1)
	program = strings.Replace(program, "[upstream]", "drain = \"10s\"\n\n[upstream]", 1)
	path := r.write("yokestall.toml", program)
	p := r.start("serve", nil, "yokestall", "serve", "-c", path)
	r.await("the program", 10*time.Second, r.newClient("c", listen).ready)
	var clients sync.WaitGroup
	for i := range slowClients {
		clients.Go(func() { r.writeSlowly(listen, fmt.Sprintf("slow-%d", i), bodyBytes, pieces, 100*time.Millisecond) })
	}
	time.Sleep(300 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	if r.trouble {
		endpoints[0] = servers[0].endpoint("kigali-room1", 0, "draining")
		r.write("clusters/rooms.toml", clusterFile("rooms", endpoints...))
		r.logf("the file says that app-1 drains")
	}
	told := time.Now().Add(500 * time.Millisecond) // the poll
	clients.Wait()
	if late := servers[0].arrivalsAfter(told.Add(550 * time.Millisecond)); r.trouble && len(late) > 0 {
		r.broken("app-1 got %d new requests, the first %.2f s after a poll would have read that it drains",
			len(late), late[0].at.Sub(told).Seconds())
	}
}

// writeSlowly sends a keyed request whose body comes in pieces, and records its answer.
func (r *rig) writeSlowly(addr, id string, bodyBytes, pieces int, pause time.Duration) {
	nc, err := net.Dial("tcp", addr)
	r.must(err)
	defer nc.Close()
	r.logf("client begins %s", id)
	const head = "POST /booking HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 1900\r\n" +
		"Idempotency-Key: k-%s\r\nContent-Length: %d\r\n\r\n"
	fmt.Fprintf(nc, head, id, id, bodyBytes/pieces*pieces)
	for range pieces {
		io.WriteString(nc, strings.Repeat("x", bodyBytes/pieces))
		time.Sleep(pause)
	}
	r.logf("client has written %s", id)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		r.logf("client got for %s: %v", id, err)
		return
	}
	resp.Body.Close()
	r.logf("client got for %s: %d", id, resp.StatusCode)
}
