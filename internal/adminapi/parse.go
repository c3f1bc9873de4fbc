package adminapi

import (
	"bytes"
	"fmt"
	"strconv"

	"yokestall/internal/adminstate"
	"yokestall/internal/discovery"
)

// MaxLine is how many bytes a call may have, its end included.
const MaxLine = 256

// Call is what an operator asks for.
type Call struct {
	Ping   bool
	Change adminstate.Op // if not Ping
	Server string        // for those that name one
}

// calls maps the operators' words, which are upper case alone.
var calls = map[string]Call{
	"PING":     {Ping: true},
	"DETACH":   {Change: adminstate.Detach},
	"ATTACH":   {Change: adminstate.Attach},
	"LAMEDUCK": {Change: adminstate.LameDuck},
	"REJOIN":   {Change: adminstate.Rejoin},
}

// Parse reads one call without its line's end. The error says in plain words what is wrong.
func Parse(line []byte) (Call, error) {
	if len(line) >= MaxLine {
		return Call{}, fmt.Errorf("the line is longer than %d bytes", MaxLine-1)
	}
	for i, b := range line {
		if b < ' ' || b > '~' {
			return Call{}, fmt.Errorf("byte %d of the line is not printable ASCII", i+1)
		}
	}
	words := bytes.Fields(line)
	if len(words) == 0 {
		return Call{}, fmt.Errorf("the line is empty")
	}
	c, known := calls[string(words[0])]
	if !known {
		return Call{}, fmt.Errorf("unknown call %s", strconv.Quote(string(words[0])))
	}
	want := 0
	if c.Change.OfServer() {
		want = 1
	}
	switch got := len(words) - 1; {
	case got < want:
		return Call{}, fmt.Errorf("%s wants a server's id", words[0])
	case got > want:
		return Call{}, fmt.Errorf("%s: %d words too many", words[0], got-want)
	}
	if want == 1 {
		if c.Server = string(words[1]); len(c.Server) > discovery.MaxIDBytes {
			return Call{}, fmt.Errorf("the id is longer than %d bytes", discovery.MaxIDBytes)
		}
	}
	return c, nil
}
