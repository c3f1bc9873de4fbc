package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/loopback"
	"yokestall/internal/testutil"
)

var (
	kills   = flag.Int("kills", 4, "how often TestKillsAmongPushes kills the program")
	between = flag.Duration("between", 300*time.Millisecond,
		"how long the program runs between two kills in TestKillsAmongPushes")
)

const killsConfig = `[listen]
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

// killTest is a run of the program under load, with the endpoints that the program sends to.
type killTest struct {
	dir     string // folder of the program's files
	address string // address that the program listens on after each start
	boxes   []*appbox.Server
	client  *http.Client
	program *exec.Cmd
}

// Load parameters of TestKillsAmongPushes.
const (
	killWorkers     = 24                    // number of concurrent clients
	killAttempts    = 12                    // most attempts of a client with one key
	killEndpoints   = 3                     // endpoints of the cluster
	killWork        = 5 * time.Millisecond  // time that an endpoint works on a request, so that kills happen during requests
	killClientPause = 10 * time.Millisecond // pause of a client between two attempts
)

// newKillTest starts the endpoints, which execute a repeated request again, and writes the program's files. log is the
// settings line that turns on the log of idempotency keys; if it is empty, the program has no such log.
func newKillTest(t *testing.T, log string) *killTest {
	t.Helper()
	l, err := loopback.Listen() // reserves a free port, which the program listens on after each start
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
		"yokestall.toml":      strings.NewReplacer("ADDRESS", k.address, "LOG", log).Replace(killsConfig),
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
	awaitListening(t, k.address)
}

// kill kills the program and waits until the process has ended.
func (k *killTest) kill() {
	k.program.Process.Kill()
	k.program.Wait()
}

// push sends one request with an idempotency key and returns the response's status, or 0 if no complete response came.
func (k *killTest) push(ctx context.Context, t *testing.T, key string) (status int) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.address+"/push", strings.NewReader("x"))
	if err != nil {
		t.Error(err)
		return 0
	}
	r.Host = "rooms.example"
	r.GetBody = nil // keeps net/http from retrying the request on its own
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

// pushUntil sends requests with one key after the other until ctx ends. It repeats the request of a key, up to
// killAttempts times, until the response is 200, which gives the outcome, or 409, which rejects the key.
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

// executions returns how many keys the endpoints executed, and how many of those keys they executed more than once.
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

// killsAmongPushes kills the program and starts it again while clients send requests. It returns how many keys the
// endpoints executed, and how many of those keys they executed more than once.
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
		time.Sleep(*between) // the pace of kills is a parameter of the test, not a wait for an event
		k.kill()
		k.start(t)
	}
	time.Sleep(*between)
	stop()
	clients.Wait()
	return k.executions()
}

// The program is killed repeatedly while clients send requests with idempotency keys, and send each request again until
// its outcome is known. With the log of keys no request runs twice. Without the log some do, which shows that the check
// can fail.
func TestKillsAmongPushes(t *testing.T) {
	ran, twice := killsAmongPushes(t, `log = "keys"`)
	t.Logf("with the log of keys: %d kills, %d keys executed, %d of them more than once", *kills, ran, twice)
	if twice > 0 || ran < 50 {
		t.Errorf("with the log of keys: %d of %d keys executed more than once; want none of at least 50", twice, ran)
	}
	ran, twice = killsAmongPushes(t, "")
	t.Logf("without the log of keys: %d keys executed, %d of them more than once", ran, twice)
	if twice == 0 {
		t.Error("without the log of keys: no key executed more than once; want some, else the check with the log proves nothing")
	}
}
