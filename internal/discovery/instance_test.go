package discovery

import (
	"strings"
	"time"
)

// now is the wall time that the tests pass to ParseResponse.
var now = time.UnixMilli(1_800_000_000_000)

// validEntry is an entry of which all fields are valid.
const validEntry = `{"instanceId":"a","hostPort":"10.0.0.1:80","zone":"z","cell":1,"lifecycle":"Ready","weight":1.5,` +
	`"startedAtMs":1799999999000}`

// overlong is a string one byte longer than the limit of an ID and a zone.
var overlong = strings.Repeat("x", MaxIDBytes+1)
