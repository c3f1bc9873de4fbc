package discovery

import (
	"strings"
	"time"
)

// now is the wall time of the tests.
var now = time.UnixMilli(1_800_000_000_000)

// validLine is a line with valid fields only.
const validLine = `{"instanceId":"a","hostPort":"10.0.0.1:80","zone":"z","cell":1,"lifecycle":"Ready","weight":1.5,` +
	`"startedAtMs":1799999999000}`

// overlong is longer than any field may be.
var overlong = strings.Repeat("x", MaxIDBytes+1)
