package adminapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"yokestall/internal/adminstate"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// handler is a Handler that records commands in got and responds with the result of respond, or with "done" if
// respond is nil.
type handler struct {
	got     chan Command
	respond func(ctx context.Context, c Command) (string, error)
}

func (h *handler) Handle(ctx context.Context, c Command) (string, error) {
	h.got <- c
	if h.respond != nil {
		return h.respond(ctx, c)
	}
	return "done", nil
}

// serve serves the admin API with h until the test ends, and returns the address.
func serve(t *testing.T, h *handler) (addr string) {
	t.Helper()
	h.got = make(chan Command, 1000)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan error, 1)
	go func() { returned <- Serve(ctx, l, h) }()
	t.Cleanup(func() {
		cancel()
		if err := testutil.Wait(t, returned, "Serve to return"); err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	return nc
}

// exchange sends a text unchanged, ends the sending side of the connection and returns the response.
func exchange(t *testing.T, addr, text string) string {
	t.Helper()
	nc := dial(t, addr)
	io.WriteString(nc, text)
	nc.(*net.TCPConn).CloseWrite()
	response, err := io.ReadAll(nc)
	if err != nil {
		t.Fatalf("reading the response to %q: %v", text, err)
	}
	return string(response)
}

func TestCommands(t *testing.T) {
	h := &handler{respond: func(_ context.Context, c Command) (string, error) {
		if c.InstanceID == "nobody" {
			return "", errors.New("two\nlines")
		}
		return "done", nil
	}}
	addr := serve(t, h)
	for _, c := range []struct {
		text, response string
		command        *Command // command that the handler gets; nil: it gets none
	}{
		{"PING\n", "+OK done\n", &Command{Ping: true}},
		{"DETACH s-1\r\n", "+OK done\n", &Command{Operation: adminstate.Detach, InstanceID: "s-1"}},
		{"  ATTACH   s-1 \n", "+OK done\n", &Command{Operation: adminstate.Attach, InstanceID: "s-1"}},
		{"LAMEDUCK\n", "+OK done\n", &Command{Operation: adminstate.LameDuck}},
		{"REJOIN\n", "+OK done\n", &Command{Operation: adminstate.Rejoin}},
		{"DETACH nobody\n", "-ERR two?lines\n", &Command{Operation: adminstate.Detach, InstanceID: "nobody"}},
		{"\n", "-ERR the line is empty\n", nil},
		{"HELLO\n", "-ERR unknown command \"HELLO\"\n", nil},
		{"ping\n", "-ERR unknown command \"ping\"\n", nil},
		{"DETACH\n", "-ERR DETACH needs a server's id\n", nil},
		{"PING now\n", "-ERR PING: too many arguments (1 extra)\n", nil},
		{"DETACH a b\n", "-ERR DETACH: too many arguments (1 extra)\n", nil},
		{"DETACH " + strings.Repeat("x", 200) + "\n", "-ERR the id is longer than 128 bytes\n", nil},
		{strings.Repeat("x", 5000) + "\n", "-ERR the line is too long\n", nil},
		{"PING\x00\n", "-ERR byte 5 of the line is not printable ASCII\n", nil},
		{"DETACH s-1\nDETACH s-2\n", "-ERR bytes follow the line; send only one line per connection\n", nil},
		{"DETACH s-1", "-ERR the line does not end with a line feed\n", nil}, // must not be executed: a truncated id may be the id of another instance
	} {
		if got := exchange(t, addr, c.text); got != c.response {
			t.Errorf("%.40q: got response %q, want %q", c.text, got, c.response)
		}
		select {
		case got := <-h.got:
			if c.command == nil || got != *c.command {
				t.Errorf("%.40q: executed command %+v, want none or that of the test case", c.text, got)
			}
		default:
			if c.command != nil {
				t.Errorf("%.40q: no command executed, want that of the test case", c.text)
			}
		}
	}
}

// Connections that send nothing or only a part of a line do not keep other operators from getting a response:
// they are evicted for new connections, and there are never more than MaxConnections.
func TestStalledCallers(t *testing.T) {
	h := &handler{}
	addr := serve(t, h)
	var stalled []net.Conn
	for i := range 10 * MaxConnections {
		nc := dial(t, addr)
		switch i % 3 {
		case 1:
			io.WriteString(nc, "DETACH s")
		case 2:
			io.WriteString(nc, "PING")
		}
		stalled = append(stalled, nc)
		if i%20 == 0 {
			if got := exchange(t, addr, "PING\n"); got != "+OK done\n" {
				t.Fatalf("got response %q after stalled connection %d, want \"+OK done\"", got, i)
			}
		}
	}
	// All connections but the last MaxConnections ones were evicted.
	for _, nc := range stalled[:len(stalled)-MaxConnections] {
		if _, err := io.Copy(io.Discard, nc); testutil.IsTimeout(err) {
			t.Fatal("a stalled connection was not evicted, want only the last MaxConnections ones open")
		}
	}
	// The last stalled connection still has a slot, so it gets a response once it completes its command.
	last := stalled[len(stalled)-1]
	io.WriteString(last, "PING\n")
	if response, _ := io.ReadAll(last); !strings.HasPrefix(string(response), "+OK") {
		t.Errorf("got response %q on the last stalled connection, want one with +OK", response)
	}
}

// While commands are being executed on the connections of all slots, a further connection is closed without a
// response, and each of the executing connections gets its response.
func TestExecutingConnectionsAreNotEvicted(t *testing.T) {
	release := make(chan struct{})
	h := &handler{respond: func(context.Context, Command) (string, error) { <-release; return "", nil }}
	addr := serve(t, h)
	var executing []net.Conn
	for range MaxConnections {
		nc := dial(t, addr)
		io.WriteString(nc, "PING\n")
		executing = append(executing, nc)
	}
	for range MaxConnections {
		testutil.Wait(t, h.got, "all commands to reach the handler")
	}
	extra := dial(t, addr)
	if response, _ := io.ReadAll(extra); len(response) != 0 {
		t.Errorf("got response %q on a connection beyond MaxConnections, want none", response)
	}
	close(release)
	for _, nc := range executing {
		if response, _ := io.ReadAll(nc); string(response) != "+OK\n" {
			t.Errorf("got response %q to an executing command, want +OK", response)
		}
	}
	if got := exchange(t, addr, "PING\n"); got != "+OK\n" {
		t.Errorf("got response %q after the slots were released, want +OK", got)
	}
}

func FuzzParseCommand(f *testing.F) {
	for _, s := range []string{
		"PING", "DETACH s-1", "ATTACH  x ", "LAMEDUCK", "REJOIN x", "", "\x00", strings.Repeat("D", 300),
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		c, err := ParseCommand(line)
		if err != nil {
			text := formatResponse("", err)
			if strings.Count(text, "\n") != 1 || len(text) > maxResponseBytes+10 || !strings.HasPrefix(text, "-ERR ") {
				t.Errorf("got response %q, want one line that starts with -ERR, with at most maxResponseBytes of text", text)
			}
			return
		}
		word := "PING"
		if !c.Ping {
			word = c.Operation.String()
		}
		if got := bytes.Join(bytes.Fields(line), []byte(" ")); string(got) != strings.TrimSpace(word+" "+c.InstanceID) {
			t.Errorf("%q was parsed as %+v", line, c)
		}
	})
}
