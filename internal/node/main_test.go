package node

import (
	"fmt"
	"os"
	"testing"

	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) {
	testutil.MainOr(m, func() {
		if err := Command(nil); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	})
}
