package h1client

import (
	"testing"

	"yokestall/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }
