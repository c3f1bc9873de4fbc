package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yokestall/internal/stress/crowd"
	"yokestall/internal/stress/shapes"
	"yokestall/internal/testutil"
)

// crowdMemoryMB is the memory limit of the program in TestCrowdsStayWithinTheMemoryLimit, in MB. It is the least one that the
// settings accept.
const crowdMemoryMB = 64

const (
	// crowdDeadline is the deadline of the classes in crowdConfig.
	crowdDeadline = 8 * time.Second
	// answerGrace is how long after its deadline a request may still get its final answer.
	answerGrace = 500 * time.Millisecond
)

const crowdConfig = `[listen]
address = "ADDRESS"
[files]
clusters = "clusters"
[process]
memory_mb = MEMORY
[limits]
attempts = 3
[[class]]
name = "read"
effect = "safe"
deadline = "8s"
[[class]]
name = "pay"
effect = "unsafe"
deadline = "8s"
[[host]]
[[host.route]]
prefix = "/pay"
class = "pay"
cluster = "rooms"
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
`

// startServe starts the program with the settings and the endpoints at these addresses. It returns the address of the program
// and its process, which is killed when the test ends.
func startServe(t *testing.T, settings string, endpoints ...string) (addr string, process *os.Process) {
	t.Helper()
	command, env := testutil.SelfCommand()
	return startServeCommand(t, command[0], env, settings, endpoints...)
}

// startServeCommand is startServe with an executable and the environment that it needs in addition.
func startServeCommand(
	t *testing.T, executable string, env []string, settings string, endpoints ...string,
) (addr string, process *os.Process) {
	t.Helper()
	l := testutil.Listen(t)
	addr = l.Addr().String()
	l.Close()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"yokestall.toml":      strings.NewReplacer("ADDRESS", addr, "MEMORY", fmt.Sprint(crowdMemoryMB)).Replace(settings),
		"clusters/rooms.toml": clusterFile(endpoints),
	} {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	program := exec.Command(executable, "serve", "-c", filepath.Join(dir, "yokestall.toml"))
	program.Env = append(os.Environ(), env...)
	var log bytes.Buffer
	program.Stderr = &log
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		program.Process.Kill()
		program.Wait()
		if t.Failed() {
			t.Logf("log of the program: %s", lastBytes(log.Bytes(), maxLogBytes))
		}
	})
	testutil.Until(t, "the program to serve", func() bool {
		resp, err := http.Get("http://" + addr + "/pay")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return addr, program.Process
}

// maxLogBytes is how much of a program's log a failed test shows.
const maxLogBytes = 64 << 10

// lastBytes returns the last n bytes of b, or all of them.
func lastBytes(b []byte, n int) []byte { return b[max(0, len(b)-n):] }

// clusterFile returns the file of the cluster rooms with endpoints at these addresses.
func clusterFile(endpoints []string) string {
	var text strings.Builder
	text.WriteString("[cluster]\nname = \"rooms\"\n")
	for i, address := range endpoints {
		fmt.Fprintf(&text, "[[endpoint]]\nid = \"s-%d\"\naddress = %q\nzone = \"a\"\nweight = 1\n", i, address)
	}
	fmt.Fprintf(&text, "[end]\nendpoints = %d\n", len(endpoints))
	return text.String()
}

// peakMB returns the peak resident memory of a process in MiB.
func peakMB(t *testing.T, process *os.Process) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	t.Fatal("no VmHWM in /proc/PID/status")
	return 0
}

// Guards against a program that exceeds its memory limit because of what its clients send, hold back or do not read. Other
// clients are served meanwhile.
func TestCrowdsStayWithinTheMemoryLimit(t *testing.T) {
	const clients, duration = 300, 3 * time.Second
	for _, kind := range crowd.Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			addr, process := startServe(t, crowdConfig, testutil.Accept(t, crowd.ServeEndpoint))
			idlePeak := peakMB(t, process)
			c := crowd.Start(crowd.Options{
				Addr: addr, Kind: kind, Clients: clients, HeadBytes: 15 << 10, LongAnswer: "/read", Upload: "/pay",
			})
			client := http.Client{Timeout: crowdDeadline + answerGrace, Transport: &http.Transport{DisableKeepAlives: true}}
			answers := map[int]int{}
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				status := 0
				for try := 0; status == 0 && try < 2; try++ { // beside a crowd, a new connection may be closed unread
					if resp, err := client.Post("http://"+addr+"/pay", "", nil); err == nil {
						resp.Body.Close()
						status = resp.StatusCode
					}
				}
				answers[status]++
			}
			peak := peakMB(t, process)
			c.Stop()
			t.Logf("%d connections; peak memory %.1f MB, %.1f MB before, limit %d MB; other clients' answers %v",
				c.Opened.Load(), peak, idlePeak, crowdMemoryMB, answers)
			if !raceEnabled && peak > crowdMemoryMB {
				t.Errorf("peak memory of the program is %.1f MB, want at most its limit of %d MB", peak, crowdMemoryMB)
			}
			if answers[0] > 0 || answers[http.StatusOK] == 0 {
				t.Errorf("other clients got the answers %v, want one each and some served", answers)
			}
		})
	}
}

// Guards against few clients that take the processor from all others, whatever they send and whoever answers it.
func TestServeFewConnectionsDelayNobody(t *testing.T) {
	program, floods := testutil.BuildProgram(t, "cmd/yokestall"), testutil.BuildProgram(t, "internal/stress/crowd/floods")
	for _, kind := range crowd.FloodKinds() {
		t.Run(string(kind), func(t *testing.T) {
			endpoint := testutil.Accept(t, func(nc net.Conn) { shapes.Serve(nc, nil) }) // with short answers
			addr, _ := startServeCommand(t, program, nil, crowdConfig, endpoint)
			flood, err := crowd.StartFloodProcess(floods, crowd.FloodOptions{
				Addr: addr, Kind: kind, Clients: 24, Pipelined: 100, FullSpeed: true, Target: "/pay",
			})
			if err != nil {
				t.Fatal(err)
			}
			report := crowd.RunOrdinary(crowd.OrdinaryOptions{
				Addr: addr, Target: "/pay", Clients: 6, Requests: 40, Every: 20 * time.Millisecond,
				Timeout: 436 * time.Millisecond, Grace: answerGrace,
			})
			sent, err := flood.Stop()
			t.Logf("%v; %d requests of the flood, error %v", report, sent, err)
			if err != nil || sent == 0 {
				t.Errorf("the flood sent %d requests, error %v", sent, err)
			}
			if report.Late > 0 || report.Served < report.Requests*95/100 {
				t.Errorf("ordinary clients: %v; want none late and 95 of 100 served", report)
			}
		})
	}
}
