package scale

import (
	"testing"

	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }
