package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"yokestall/internal/fake/appbox"
	"yokestall/internal/testutil"
)

var (
	kills   = flag.Int("kills", 4, "how often TestKillsAmongPushes kills the program")
	between = flag.Duration("between", 300*time.Millisecond, "and how long it runs between two kills")
)

const killsProgram = `[listen]
address = "ADDRESS"
[files]
clusters = "clusters"
[repeats]
entries = 200000
mb = 256
LOG
[limits]
attempts = 1
[[class]]
name = "push"
effect = "keyed"
scope = "all"
window = "2m"
deadline = "2s"
[[host]]
[[host.route]]
prefix = "/"
class = "push"
cluster = "rooms"
`

// killTest is the program under load, with the endpoints that it sends to.
type killTest struct {
	dir     string // of its files
	address string // that it listens on after each start
	boxes   []*appbox.Server
	client  *http.Client
	program *exec.Cmd
}

// Load of TestKillsAmongPushes.
const (
	killWorkers     = 24                    // clients at once
	killAttempts    = 12                    // of a client with one key
	killEndpoints   = 3                     // of the cluster
	killWork        = 5 * time.Millisecond  // of a request at its endpoint, within which a kill may come
	killClientPause = 10 * time.Millisecond // of a client between two attempts
)

// newKillTest starts endpoints, which don't drop repeats, and writes the program's files. log is the line of the
// settings that has the log of keys, or is empty.
func newKillTest(t *testing.T, log string) *killTest {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") // a free port, which the program listens on after each start
	if err != nil {
		t.Fatal(err)
	}
	k := &killTest{dir: t.TempDir(), address: l.Addr().String()}
	l.Close()
	list := "[cluster]\nname = \"rooms\"\n"
	for i := range killEndpoints {
		b := testutil.StartAppServer(t, fmt.Sprint("s-", i))
		b.SetDelay(killWork)
		k.boxes = append(k.boxes, b)
		list += fmt.Sprintf("[[endpoint]]\nid = %q\naddress = %q\nzone = \"a\"\nweight = 1\n", b.Name, b.Addr())
	}
	if err := os.Mkdir(filepath.Join(k.dir, "clusters"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"yokestall.toml":      strings.NewReplacer("ADDRESS", k.address, "LOG", log).Replace(killsProgram),
		"clusters/rooms.toml": list + fmt.Sprintf("[end]\nendpoints = %d\n", killEndpoints),
	} {
		if err := os.WriteFile(filepath.Join(k.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return k
}

// start starts the program and returns once it listens.
func (k *killTest) start(t *testing.T) {
	t.Helper()
	command, env := testutil.SelfCommand()
	k.program = exec.Command(command[0], "serve", "-c", filepath.Join(k.dir, "yokestall.toml"))
	k.program.Env = append(os.Environ(), env...)
	if err := k.program.Start(); err != nil {
		t.Fatal(err)
	}
	testutil.Until(t, "the program to listen", func() bool {
		nc, err := net.Dial("tcp", k.address)
		if err == nil {
			nc.Close()
		}
		return err == nil
	})
}

// kill kills the program and waits for its end.
func (k *killTest) kill() {
	k.program.Process.Kill()
	k.program.Wait()
}

// push sends one request under an idempotency key and returns its status; 0: no complete response.
func (k *killTest) push(ctx context.Context, t *testing.T, key string) (status int) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.address+"/push", strings.NewReader("x"))
	if err != nil {
		t.Error(err)
		return 0
	}
	r.Host = "rooms.example"
	r.GetBody = nil // net/http must not send it again by itself
	r.Header.Set("Idempotency-Key", key)
	resp, err := k.client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// pushUntil pushes under one key after the other until ctx ends. Each key is repeated until its outcome is known, or
// that it can't be.
func (k *killTest) pushUntil(ctx context.Context, t *testing.T, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		for range killAttempts {
			status := k.push(ctx, t, fmt.Sprintf("%d-%d", worker, n))
			if status == http.StatusOK || status == http.StatusConflict {
				break
			}
			time.Sleep(killClientPause) // the program was killed, or rejected the request
		}
	}
}

// executions returns how many keys ran at the endpoints, and how many of them more than once.
func (k *killTest) executions() (ran, twice int) {
	byKey := map[string]int{}
	for _, b := range k.boxes {
		seen, _ := b.Seen()
		for _, s := range seen {
			if byKey[s.Key]++; byKey[s.Key] == 2 {
				twice++
			}
		}
	}
	return len(byKey), twice
}

// killsAmongPushes has clients push under load while the program is killed and started again, and returns how many
// keys ran, and how many of them more than once.
func killsAmongPushes(t *testing.T, log string) (ran, twice int) {
	k := newKillTest(t, log)
	k.start(t)
	defer func() { k.kill() }()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	k.client = &http.Client{Transport: transport, Timeout: 3 * time.Second}
	var clients sync.WaitGroup
	for worker := range killWorkers {
		clients.Go(func() { k.pushUntil(ctx, t, worker) })
	}
	for range *kills {
		time.Sleep(*between) // the pace under test
		k.kill()
		k.start(t)
	}
	time.Sleep(*between)
	stop()
	clients.Wait()
	return k.executions()
}

// The program is killed over and over among pushes whose clients send them again until they know
// their outcome: with the log on none runs twice. Without it some do, which shows that the check can fail.
func TestKillsAmongPushes(t *testing.T) {
	ran, twice := killsAmongPushes(t, `log = "keys"`)
	t.Logf("%d kills: %d keys ran, %d of them more than once", *kills, ran, twice)
	if twice > 0 || ran < 50 {
		t.Errorf("%d of %d keys ran more than once", twice, ran)
	}
	ran, twice = killsAmongPushes(t, "")
	t.Logf("without the log: %d keys ran, %d of them more than once", ran, twice)
	if twice == 0 {
		t.Error("without the log none ran twice: the check proves nothing")
	}
}
