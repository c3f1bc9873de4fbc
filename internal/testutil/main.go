package testutil

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// leakChecks is the number of searches for goroutines after the tests. Goroutines that are still running at the last search
// count as leaked. One search is not enough, because net/http waits 500 ms after it closes some connections.
const leakChecks = 6

// Main runs a package's tests and ends the process with their exit code. The exit code is also 1 if the tests pass and goroutines
// have leaked.
func Main(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if code == 0 {
		if err := findLeaks(); err != nil {
			fmt.Fprintln(os.Stderr, "goroutines have leaked:", err)
			code = 1
		}
	}
	os.Exit(code)
}

// findLeaks returns an error with the goroutines that are still running at the last of leakChecks searches.
func findLeaks() (err error) {
	for range leakChecks {
		if err = goleak.Find(); err == nil {
			return nil
		}
	}
	return err
}

// asProgram is the name of the environment variable that makes a test's executable run the program under test.
const asProgram = "YOKESTALL_TEST_AS_PROGRAM"

// SelfCommand returns the command and the additional environment with which a test starts its own executable as the program
// that the package's TestMain passes to MainOr.
func SelfCommand() (command, env []string) { return []string{os.Args[0]}, []string{asProgram + "=1"} }

// MainOr calls program and then exits with code 0 in a process that was started with SelfCommand. In other processes it calls
// Main.
func MainOr(m *testing.M, program func()) {
	if os.Getenv(asProgram) != "" {
		program()
		os.Exit(0)
	}
	Main(m)
}
