package h1server

import (
	"testing"

	"yokestall/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }
