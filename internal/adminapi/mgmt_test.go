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

// handler records calls and answers as told.
type handler struct {
	got    chan Call
	answer func(ctx context.Context, c Call) (string, error)
}

func (h *handler) Handle(ctx context.Context, c Call) (string, error) {
	h.got <- c
	if h.answer != nil {
		return h.answer(ctx, c)
	}
	return "done", nil
}

func serve(t *testing.T, h *handler) (addr string) {
	t.Helper()
	h.got = make(chan Call, 1000)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, l, h) }()
	t.Cleanup(func() {
		cancel()
		if err := testutil.Wait(t, ended, "the address to end"); err != nil {
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
	nc.SetDeadline(time.Now().Add(testutil.Patience))
	return nc
}

// ask sends a text as it is, and no more.
func ask(t *testing.T, addr, text string) string {
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

func TestCalls(t *testing.T) {
	h := &handler{answer: func(_ context.Context, c Call) (string, error) {
		if c.Server == "nobody" {
			return "", errors.New("two\nlines")
		}
		return "done", nil
	}}
	addr := serve(t, h)
	for _, c := range []struct {
		text, answer string
		call         *Call // nil: the handler gets none
	}{
		{"PING\n", "+OK done\n", &Call{Ping: true}},
		{"DETACH s-1\r\n", "+OK done\n", &Call{Change: adminstate.Detach, Server: "s-1"}},
		{"  ATTACH   s-1 \n", "+OK done\n", &Call{Change: adminstate.Attach, Server: "s-1"}},
		{"LAMEDUCK\n", "+OK done\n", &Call{Change: adminstate.LameDuck}},
		{"REJOIN\n", "+OK done\n", &Call{Change: adminstate.Rejoin}},
		{"DETACH nobody\n", "-ERR two?lines\n", &Call{Change: adminstate.Detach, Server: "nobody"}},
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
		{"DETACH s-1", "-ERR the line has no end\n", nil}, // half of an id may be another's
	} {
		if got := ask(t, addr, c.text); got != c.answer {
			t.Errorf("%.40q: %q, want %q", c.text, got, c.answer)
		}
		select {
		case got := <-h.got:
			if c.call == nil || got != *c.call {
				t.Errorf("%.40q: called with %+v", c.text, got)
			}
		default:
			if c.call != nil {
				t.Errorf("%.40q: not called", c.text)
			}
		}
	}
}

// Callers that say nothing, half a line, or don't read hold no place that a good one wants; and
// there are never more than Places of them.
func TestStalledCallers(t *testing.T) {
	h := &handler{}
	addr := serve(t, h)
	var stalled []net.Conn
	for i := range 10 * Places {
		nc := dial(t, addr)
		switch i % 3 {
		case 1:
			io.WriteString(nc, "DETACH s")
		case 2:
			io.WriteString(nc, "PING")
		}
		stalled = append(stalled, nc)
		if i%20 == 0 {
			if got := ask(t, addr, "PING\n"); got != "+OK done\n" {
				t.Fatalf("a good caller got %q after %d stalled ones", got, i)
			}
		}
	}
	// All but the last ones have lost their places.
	for _, nc := range stalled[:len(stalled)-Places] {
		if _, err := io.Copy(io.Discard, nc); testutil.IsTimeout(err) {
			t.Fatal("a stalled caller keeps its connection")
		}
	}
	// The last one was let in, and may finish its call.
	last := stalled[len(stalled)-1]
	io.WriteString(last, "PING\n")
	if answer, _ := io.ReadAll(last); !strings.HasPrefix(string(answer), "+OK") {
		t.Errorf("the last caller got %q", answer)
	}
}

// While every place is taken by calls that are being carried out, a further caller is turned
// away, and none of those loses its answer.
func TestAllAtWork(t *testing.T) {
	release := make(chan struct{})
	h := &handler{answer: func(context.Context, Call) (string, error) { <-release; return "", nil }}
	addr := serve(t, h)
	var callers []net.Conn
	for range Places {
		nc := dial(t, addr)
		io.WriteString(nc, "PING\n")
		callers = append(callers, nc)
	}
	for range Places {
		testutil.Wait(t, h.got, "the calls")
	}
	more := dial(t, addr)
	if answer, _ := io.ReadAll(more); len(answer) != 0 {
		t.Errorf("one too many got %q", answer)
	}
	close(release)
	for _, nc := range callers {
		if answer, _ := io.ReadAll(nc); string(answer) != "+OK\n" {
			t.Errorf("answer %q", answer)
		}
	}
	if got := ask(t, addr, "PING\n"); got != "+OK\n" {
		t.Errorf("afterwards %q", got)
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"PING", "DETACH s-1", "ATTACH  x ", "LAMEDUCK", "REJOIN x", "", "\x00", strings.Repeat("D", 300)} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		c, err := Parse(line)
		if err != nil {
			if text := oneLine("", err); strings.Count(text, "\n") != 1 || len(text) > maxAnswer+10 || !strings.HasPrefix(text, "-ERR ") {
				t.Errorf("answer %q", text)
			}
			return
		}
		word := "PING"
		if !c.Ping {
			word = c.Change.String()
		}
		if got := bytes.Join(bytes.Fields(line), []byte(" ")); string(got) != strings.TrimSpace(word+" "+c.Server) {
			t.Errorf("%q was read as %+v", line, c)
		}
	})
}
