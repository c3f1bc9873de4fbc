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

// handler records commands, and responds as respond does; nil: with "done".
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

// exchange sends a text as it is, ends its side of the connection and returns the response.
func exchange(t *testing.T, addr, text string) string {
	t.Helper()
	nc := dial(t, addr)
	io.WriteString(nc, text)
	nc.(*net.TCPConn).CloseWrite()
	answer, err := io.ReadAll(nc)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return string(answer)
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
		command        *Command // nil: the handler gets none
	}{
		{"PING\n", "+OK done\n", &Command{Ping: true}},
		{"DETACH s-1\r\n", "+OK done\n", &Command{Operation: adminstate.Detach, InstanceID: "s-1"}},
		{"  ATTACH   s-1 \n", "+OK done\n", &Command{Operation: adminstate.Attach, InstanceID: "s-1"}},
		{"LAMEDUCK\n", "+OK done\n", &Command{Operation: adminstate.LameDuck}},
		{"REJOIN\n", "+OK done\n", &Command{Operation: adminstate.Rejoin}},
		{"DETACH nobody\n", "-ERR two?lines\n", &Command{Operation: adminstate.Detach, InstanceID: "nobody"}},
		{"\n", "-ERR the line is empty\n", nil},
		{"HELLO\n", "-ERR unknown call \"HELLO\"\n", nil},
		{"ping\n", "-ERR unknown call \"ping\"\n", nil},
		{"DETACH\n", "-ERR DETACH wants a server's id\n", nil},
		{"PING now\n", "-ERR PING: 1 words too many\n", nil},
		{"DETACH a b\n", "-ERR DETACH: 1 words too many\n", nil},
		{"DETACH " + strings.Repeat("x", 200) + "\n", "-ERR the id is longer than 128 bytes\n", nil},
		{strings.Repeat("x", 5000) + "\n", "-ERR the line is too long\n", nil},
		{"PING\x00\n", "-ERR byte 5 of the line is not printable ASCII\n", nil},
		{"DETACH s-1\nDETACH s-2\n", "-ERR more than one line came\n", nil},
		{"DETACH s-1", "-ERR the line has no end\n", nil}, // a part of an id may be another id
	} {
		if got := exchange(t, addr, c.text); got != c.response {
			t.Errorf("%.40q: %q, want %q", c.text, got, c.response)
		}
		select {
		case got := <-h.got:
			if c.command == nil || got != *c.command {
				t.Errorf("%.40q: executed %+v", c.text, got)
			}
		default:
			if c.command != nil {
				t.Errorf("%.40q: not executed", c.text)
			}
		}
	}
}

// Connections that send nothing or a part of a line, or don't read, are evicted for one that does, and there are
// never more than MaxConnections.
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
				t.Fatalf("response %q after %d stalled connections", got, i)
			}
		}
	}
	// All but the last ones were evicted.
	for _, nc := range stalled[:len(stalled)-MaxConnections] {
		if _, err := io.Copy(io.Discard, nc); testutil.IsTimeout(err) {
			t.Fatal("a stalled connection was not evicted")
		}
	}
	// The last one has a slot, and may complete its command.
	last := stalled[len(stalled)-1]
	io.WriteString(last, "PING\n")
	if answer, _ := io.ReadAll(last); !strings.HasPrefix(string(answer), "+OK") {
		t.Errorf("response %q to the last connection", answer)
	}
}

// While all slots are taken by commands that are being executed, a further connection is closed, and
// each of them gets its response.
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
		testutil.Wait(t, h.got, "the commands")
	}
	more := dial(t, addr)
	if answer, _ := io.ReadAll(more); len(answer) != 0 {
		t.Errorf("response %q to one connection too many", answer)
	}
	close(release)
	for _, nc := range executing {
		if answer, _ := io.ReadAll(nc); string(answer) != "+OK\n" {
			t.Errorf("response %q", answer)
		}
	}
	if got := exchange(t, addr, "PING\n"); got != "+OK\n" {
		t.Errorf("afterwards %q", got)
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
				t.Errorf("response %q", text)
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
