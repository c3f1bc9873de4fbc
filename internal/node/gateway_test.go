package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// gateway is a fake of what lies between clients and a node on the platform: it limits
// client connections, and a client above the limit never reaches the node.
type gateway struct {
	node   *running
	places chan struct{}
}

func newGateway(n *running, places int) *gateway {
	return &gateway{node: n, places: make(chan struct{}, places)}
}

var errNoPlace = errors.New("no connection left for this client")

// client is a client's connection; its slot is free once the node or the client has
// closed it.
type client struct {
	net.Conn
	reader *bufio.Reader
	free   func()
}

func (c *client) close() {
	c.Conn.Close()
	c.free()
}

// connect returns a connection, or errNoPlace if no slot was free in time.
func (g *gateway) connect(most time.Duration) (*client, error) {
	select {
	case g.places <- struct{}{}:
	case <-time.After(most):
		return nil, errNoPlace
	}
	nc, err := net.Dial("tcp", g.node.addr)
	if err != nil {
		<-g.places
		return nil, err
	}
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	return &client{Conn: nc, reader: bufio.NewReader(nc), free: sync.OnceFunc(func() { <-g.places })}, nil
}

// ask sends one request. A connection that ended before the response's first byte is
// errCrossed: the client may retry on a new one.
func (c *client) ask(r *http.Request) (status int, last bool, err error) {
	if err := r.Write(c); err != nil {
		return 0, true, errCrossed
	}
	if _, err := c.reader.Peek(1); err != nil {
		if testutil.IsTimeout(err) {
			return 0, true, err
		}
		return 0, true, errCrossed
	}
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return 0, true, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

var errCrossed = errors.New("the connection ended before an answer")

// stay keeps the connection open in the background until the node closes it.
func (c *client) stay() {
	go func() {
		c.reader.Peek(1)
		c.close()
	}()
}

// crowd has a number of clients send one request and stay connected, with one regular
// client among them that reconnects repeatedly. It returns how many got no slot.
func (g *gateway) crowd(t *testing.T, clients int) (turnedAway int) {
	t.Helper()
	// How long a client waits for a slot: longer than delays of a busy machine, shorter than the 10 s after
	// which idle connections are closed.
	const most = 3 * time.Second
	var usual *client
	for i := range clients {
		c, err := g.connect(most)
		switch {
		case errors.Is(err, errNoPlace):
			turnedAway++
		case err != nil:
			t.Fatal(err)
		default:
			if status, _, err := c.ask(g.node.request("read")); err != nil || status != http.StatusOK {
				t.Fatalf("client %d: status %d, %v", i, status, err)
			}
			c.stay()
		}
		if turnedAway > 1 {
			return turnedAway
		}
		if usual == nil {
			if usual, err = g.connect(most); err != nil {
				turnedAway++
				usual = nil
				continue
			}
		}
		switch status, last, err := usual.ask(g.node.request("read")); {
		case errors.Is(err, errCrossed), err == nil && last:
			usual.close()
			usual = nil
		case err != nil || status != http.StatusOK:
			t.Fatalf("the usual client: status %d, %v", status, err)
		}
	}
	if usual != nil {
		usual.close()
	}
	return turnedAway
}
