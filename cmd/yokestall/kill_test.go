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

func TestMain(m *testing.M) { testutil.MainOr(m, main) }

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

// killsAmongPushes has clients push under load while the program is killed and started again, and
// gives how many keys ran, and how many of them more than once. The boxes drop no repeats.
func killsAmongPushes(t *testing.T, log string) (ran, twice int) {
	dir := t.TempDir()
	list := "[cluster]\nname = \"rooms\"\n"
	var boxes []*appbox.Server
	for i := range 3 {
		b := testutil.StartAppServer(t, fmt.Sprint("s-", i))
		b.SetDelay(5 * time.Millisecond) // work, in which a kill may come
		boxes = append(boxes, b)
		list += fmt.Sprintf("[[endpoint]]\nid = %q\naddress = %q\nzone = \"a\"\nweight = 1\n", b.Name, b.Addr())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0") // a free port, which the program takes over and over
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	if err := os.Mkdir(filepath.Join(dir, "clusters"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"yokestall.toml":      strings.NewReplacer("ADDRESS", addr, "LOG", log).Replace(killsProgram),
		"clusters/rooms.toml": list + "[end]\nendpoints = 3\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	begin := func() *exec.Cmd {
		itself, env := testutil.SelfCommand()
		c := exec.Command(itself[0], "serve", "-c", filepath.Join(dir, "yokestall.toml"))
		c.Env = append(os.Environ(), env...)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		testutil.Until(t, "the program to listen", func() bool {
			nc, err := net.Dial("tcp", addr)
			if err == nil {
				nc.Close()
			}
			return err == nil
		})
		return c
	}
	program := begin()
	end := func() {
		program.Process.Kill()
		program.Wait()
	}
	defer func() { end() }()

	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 3 * time.Second}
	push := func(key string) (status int) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/push", strings.NewReader("x"))
		if err != nil {
			t.Error(err)
			return 0
		}
		r.Host = "rooms.example"
		r.GetBody = nil // net/http must not send it again by itself
		r.Header.Set("Idempotency-Key", key)
		resp, err := client.Do(r)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return 0
		}
		return resp.StatusCode
	}
	var clients sync.WaitGroup
	for worker := range 24 {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				for range 12 { // until its outcome is known, or that it can't be
					status := push(fmt.Sprintf("%d-%d", worker, n))
					if status == http.StatusOK || status == http.StatusConflict {
						break
					}
					time.Sleep(10 * time.Millisecond) // killed, or refused: a client's own pace
				}
			}
		})
	}
	for range *kills {
		time.Sleep(*between) // the pace under test
		end()
		program = begin()
	}
	time.Sleep(*between)
	stop()
	clients.Wait()
	by := map[string]int{}
	for _, b := range boxes {
		seen, _ := b.Seen()
		for _, s := range seen {
			if by[s.Key]++; by[s.Key] == 2 {
				twice++
			}
		}
	}
	return len(by), twice
}

// The program is killed over and over among pushes whose clients send them again until they know
// what became of them: with the log on none runs twice. Without it some do, so the check bites.
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
