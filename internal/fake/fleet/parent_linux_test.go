package fleet

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"testing"

	"yokestall/internal/testutil"
)

// A process does not outlive the program that started it, even if that program is killed.
func TestEndsWithParent(t *testing.T) {
	command, env := testutil.SelfCommand()
	cmd := exec.Command(command[0], asParent, t.TempDir())
	cmd.Env = append(os.Environ(), env...)
	if _, err := cmd.StdinPipe(); err != nil { // the parent ends when its standard input closes
		t.Fatal(err)
	}
	out, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	cmd.Stdout = write
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	write.Close()
	lines := bufio.NewReader(out)
	line, err := lines.ReadString('\n')
	cmd.Process.Kill()
	cmd.Wait()
	if err != nil || line != "started\n" {
		t.Fatalf("got line %q and error %v from the parent, want \"started\\n\"", line, err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, lines) // ends when no process holds the pipe open for writing
		ended <- err
	}()
	if err := testutil.Wait(t, ended, "the process to end with its parent"); err != nil {
		t.Error(err)
	}
}
