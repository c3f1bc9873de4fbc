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

// No rule may be violated during the maintenance of a node.
func TestMaintenance(t *testing.T) {
	var out bytes.Buffer
	command, env := testutil.SelfCommand()
	violations, err := Maintenance(t.Context(), MaintenanceOptions{
		Out: &out, NodeCommand: command, NodeEnv: env, Clients: 6, Phase: 400 * time.Millisecond,
	})
	if err != nil || len(violations) > 0 {
		t.Errorf("got error %v, want none and no violations\n%s", err, out.String())
	}
}
