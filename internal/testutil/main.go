package testutil

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// Main runs a package's tests and then looks for goroutines that none of them ended.
func Main(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if code == 0 {
		err := goleak.Find()
		for try := 0; err != nil && try < 5; try++ { // net/http waits 500 ms behind some closes
			err = goleak.Find()
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "goroutines are left:", err)
			code = 1
		}
	}
	os.Exit(code)
}

// asProgram has a test's own program be the one under test.
const asProgram = "YOKESTALL_TEST_AS_PROGRAM"

// SelfCommand is the command, with its environment, by which a test starts the program that its package's
// TestMain gave to MainOr.
func SelfCommand() (command, env []string) { return []string{os.Args[0]}, []string{asProgram + "=1"} }

// MainOr is Main, or the program itself where a test has started it.
func MainOr(m *testing.M, program func()) {
	if os.Getenv(asProgram) != "" {
		program()
		os.Exit(0)
	}
	Main(m)
}
