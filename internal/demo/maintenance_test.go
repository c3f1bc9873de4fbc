package demo

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"

	"yokestall/internal/node"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) {
	testutil.MainOr(m, func() {
		if err := node.Command(nil); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	})
}

// No rule is broken while a node is maintained.
func TestMaintenance(t *testing.T) {
	var out bytes.Buffer
	command, env := testutil.SelfCommand()
	violations, err := Maintenance(t.Context(), MaintenanceOptions{
		Out: &out, NodeCommand: command, NodeEnv: env, Clients: 6, Phase: 400 * time.Millisecond,
	})
	if err != nil || len(violations) > 0 {
		t.Errorf("%v\n%s", err, out.String())
	}
}
