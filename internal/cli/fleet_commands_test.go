package cli

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

// voterConfig is the configuration file of the only voter of a fleet. The verb, used twice, is the voter's address.
const voterConfig = `[listen]
address = "127.0.0.1:0"
[files]
clusters = "clusters"
[fleet.agree]
name = "f"
node = "a"
lease = "300ms"
voters = ["a=%[1]s"]
listen = "%[1]s"
[[class]]
name = "read"
effect = "safe"
deadline = "1s"
[[host]]
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
`

// voterCluster is the cluster file that voterConfig refers to.
const voterCluster = `[cluster]
name = "rooms"
[[endpoint]]
id = "s-1"
address = "127.0.0.1:9"
[[endpoint]]
id = "s-2"
address = "127.0.0.1:10"
[end]
endpoints = 2
`

// writeVoterFiles writes the files of the only voter of a fleet and returns the path of the configuration file.
func writeVoterFiles(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "clusters"), 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "node.toml")
	for name, text := range map[string]string{
		path: fmt.Sprintf(voterConfig, address),
		filepath.Join(dir, "clusters", "rooms.toml"): voterCluster,
	} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

// startVoter starts a voter and returns once the voter is the leader. stop ends the voter and checks that it returned no
// error.
func startVoter(t *testing.T, path string) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, path, testutil.Log(t), nil) }()
	stop = func() {
		cancel()
		if err := testutil.Wait(t, served, "the voter to stop"); err != nil {
			t.Error(err)
		}
	}
	testutil.Until(t, "the voter to lead", func() bool {
		out, _ := run(t, "fleet", "voters", "-c", path)
		return strings.Contains(out, "a leads")
	})
	return stop
}

// A fleet with one voter is initialized and operated with the commands of the operators' documentation: init, publish,
// rollback, release and the status commands. Wrong uses of the commands are rejected.
func TestFleetCommands(t *testing.T) {
	path := writeVoterFiles(t)
	want := func(text string, fails bool, args ...string) {
		t.Helper()
		out, err := run(t, args...)
		if !strings.Contains(out, text) || (err != nil) != fails {
			t.Errorf("%v: output %q, error %v; want output with %q, and an error: %v", args, out, err, text, fails)
		}
	}
	want("a node acts on its rules for 285ms", false, "check", path)
	want("0 of 1 voters answer", true, "fleet", "status", "-c", path)
	want("a is a voter of the fleet f", false, "fleet", "init", "-c", path)
	if _, err := run(t, "fleet", "init", "-c", path); !failsWith(err, "the store already belongs to a voter") {
		t.Errorf("second init: error %v; want that the store already belongs to a voter", err)
	}
	stop := startVoter(t, path)
	defer stop()
	want("version 1 is in force", false, "fleet", "publish", "-c", path, "--base", "0", path)
	want("not the active version: the active version is 1, the base is 0", true, "fleet", "publish", "-c", path, "--base", "0", path)
	other := filepath.Join(filepath.Dir(path), "other.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(other, bytes.Replace(text, []byte("safe"), []byte("unsafe"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	want("CONTRADICTS idempotency of a class: read", true, "fleet", "diff", path, other)
	want("version 2 is in force", false, "fleet", "publish", "-c", path, "--base", "present", other)
	want("idempotency of a class: read: unsafe to safe", true, "fleet", "publish", "-c", path, "--base", "1", path)
	want("version 3 is in force", false, "fleet", "rollback", "-c", path, "--base", "2", "1")
	want("2 from 1, by a, id", false, "fleet", "history", "-c", path)
	want(`"in_force": true`, false, "fleet", "publish", "-c", path, "--base", "3", "--json", path)
	release := filepath.Join(filepath.Dir(path), "release.toml")
	for _, tc := range []struct {
		text, want string
		fails      bool
	}{
		{"cluster = \"rooms\"\nservers = [\"s-1\", \"s-2\"]\nat_once = 2\n", "floor: taking wave 1 out leaves 0 of the 2", true},
		{"cluster = \"rooms\"\nservers = [\"s-1\", \"s-2\"]\n", "wave 1 of 2", false},
	} {
		if err := os.WriteFile(release, []byte(tc.text), 0o600); err != nil {
			t.Fatal(err)
		}
		want(tc.want, tc.fails, "release", "-c", path, release)
	}
	testutil.Until(t, "the release to end", func() bool {
		out, _ := run(t, "release", "status", "-c", path)
		return strings.Contains(out, ": done")
	})
	want("release: a by token", false, "fleet", "owners", "-c", path)
}
