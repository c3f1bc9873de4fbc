package node

import (
	"fmt"
	"os"
	"testing"

	"yokestall/internal/testkit"
)

func TestMain(m *testing.M) {
	testkit.MainOr(m, func() {
		if err := Command(nil); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	})
}
