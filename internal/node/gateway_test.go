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

// gateway is a fake of the platform's routing between clients and a node. It limits client connections, and a client above
// the limit never reaches the node.
type gateway struct {
	node  *testNode
	slots chan struct{} // holds a token for each open connection
}

func newGateway(n *testNode, slots int) *gateway {
	return &gateway{node: n, slots: make(chan struct{}, slots)}
}

var errNoSlot = errors.New("the gateway has no connection left for this client")

// client is a client's connection through the gateway. Its slot is freed once the node or the client has closed the
// connection.
type client struct {
	net.Conn
	reader *bufio.Reader
	free   func()
}

func (c *client) close() {
	c.Conn.Close()
	c.free()
}

// connect returns a connection, or errNoSlot if no slot becomes free within maxWait.
func (g *gateway) connect(maxWait time.Duration) (*client, error) {
	select {
	case g.slots <- struct{}{}:
	case <-time.After(maxWait):
		return nil, errNoSlot
	}
	nc, err := net.Dial("tcp", g.node.addr)
	if err != nil {
		<-g.slots
		return nil, err
	}
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	return &client{Conn: nc, reader: bufio.NewReader(nc), free: sync.OnceFunc(func() { <-g.slots })}, nil
}

// roundTrip sends one request. It returns the status of the response, and in last whether the connection ends with the
// response. If the connection ended before the response's first byte, it returns errClosedBeforeResponse, and the client may
// retry on a new connection.
func (c *client) roundTrip(r *http.Request) (status int, last bool, err error) {
	if err := r.Write(c); err != nil {
		return 0, true, errClosedBeforeResponse
	}
	if _, err := c.reader.Peek(1); err != nil {
		if testutil.IsTimeout(err) {
			return 0, true, err
		}
		return 0, true, errClosedBeforeResponse
	}
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return 0, true, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

var errClosedBeforeResponse = errors.New("the connection ended before the response")

// holdOpen keeps the connection open in the background until the node closes it.
func (c *client) holdOpen() {
	go func() {
		c.reader.Peek(1)
		c.close()
	}()
}

// occupySlots has a number of clients send one request each and stay connected. Between them a regular client sends requests,
// and connects again whenever its connection has ended. It returns how often a client got no slot.
func (g *gateway) occupySlots(t *testing.T, clients int) (withoutSlot int) {
	t.Helper()
	// A client waits for a slot longer than delays of a busy machine last, and shorter than the 10 s after which idle
	// connections are closed.
	const maxWait = 3 * time.Second
	var regular *client
	for i := range clients {
		c, err := g.connect(maxWait)
		switch {
		case errors.Is(err, errNoSlot):
			withoutSlot++
		case err != nil:
			t.Fatal(err)
		default:
			if status, _, err := c.roundTrip(g.node.request("read")); err != nil || status != http.StatusOK {
				t.Fatalf("client %d: got status %d, error %v, want status 200", i, status, err)
			}
			c.holdOpen()
		}
		if withoutSlot > 1 {
			return withoutSlot
		}
		if regular == nil {
			if regular, err = g.connect(maxWait); err != nil {
				withoutSlot++
				regular = nil
				continue
			}
		}
		switch status, last, err := regular.roundTrip(g.node.request("read")); {
		case errors.Is(err, errClosedBeforeResponse), err == nil && last:
			regular.close()
			regular = nil
		case err != nil || status != http.StatusOK:
			t.Fatalf("the regular client: got status %d, error %v, want status 200", status, err)
		}
	}
	if regular != nil {
		regular.close()
	}
	return withoutSlot
}
