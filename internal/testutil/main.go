package testutil

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// leakChecks is how often goroutines are looked for before those that are left count as leaked: net/http waits
// 500 ms after some closes.
const leakChecks = 6

// Main runs a package's tests and ends the process with their exit code. It is 1 too if the tests pass and leave
// goroutines behind.
func Main(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if code == 0 {
		if err := findLeaks(); err != nil {
			fmt.Fprintln(os.Stderr, "goroutines are left:", err)
			code = 1
		}
	}
	os.Exit(code)
}

// findLeaks reports the goroutines that are left at the last of leakChecks checks.
func findLeaks() (err error) {
	for range leakChecks {
		if err = goleak.Find(); err == nil {
			return nil
		}
	}
	return err
}

// asProgram is the environment variable that makes a test's executable run the program under test.
const asProgram = "YOKESTALL_TEST_AS_PROGRAM"

// SelfCommand returns the command, and its additional environment, that runs the test's own executable as the
// program that the package's TestMain passes to MainOr.
func SelfCommand() (command, env []string) { return []string{os.Args[0]}, []string{asProgram + "=1"} }

// MainOr calls program, and exits with 0 after it, in a process that was started by SelfCommand; else it calls Main.
func MainOr(m *testing.M, program func()) {
	if os.Getenv(asProgram) != "" {
		program()
		os.Exit(0)
	}
	Main(m)
}
