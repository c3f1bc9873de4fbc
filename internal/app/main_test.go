package app

import (
	"testing"

	"yokestall/internal/testutil"
)

// TestMain fails if a test leaves goroutines behind.
func TestMain(m *testing.M) { testutil.Main(m) }
