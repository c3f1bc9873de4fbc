package adminapi

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"yokestall/internal/adminstate"
	"yokestall/internal/discovery"
)

// MaxCommandBytes is the maximum length of a command, including its line end.
const MaxCommandBytes = 256

// Command is one command of an operator.
type Command struct {
	Ping       bool
	Operation  adminstate.Operation // 0 if Ping
	InstanceID string               // "" unless the operation targets an instance
}

// commands maps the names of commands, which are case-sensitive, to the commands.
var commands = map[string]Command{
	"PING":     {Ping: true},
	"DETACH":   {Operation: adminstate.Detach},
	"ATTACH":   {Operation: adminstate.Attach},
	"LAMEDUCK": {Operation: adminstate.LameDuck},
	"REJOIN":   {Operation: adminstate.Rejoin},
}

// errEmptyLine is returned for a line without a word.
var errEmptyLine = errors.New("the line is empty")

// ParseCommand parses a command, given without its line end. The operator gets the text of the error in the
// response.
func ParseCommand(line []byte) (Command, error) {
	if len(line) >= MaxCommandBytes {
		return Command{}, fmt.Errorf("the line is longer than %d bytes", MaxCommandBytes-1)
	}
	for i, b := range line {
		if b < ' ' || b > '~' {
			return Command{}, fmt.Errorf("byte %d of the line is not printable ASCII", i+1)
		}
	}
	fields := bytes.Fields(line)
	if len(fields) == 0 {
		return Command{}, errEmptyLine
	}
	c, known := commands[string(fields[0])]
	if !known {
		return Command{}, fmt.Errorf("unknown command %s", strconv.Quote(string(fields[0])))
	}
	return c.withArguments(string(fields[0]), fields[1:])
}

// withArguments returns the command with its arguments, which are the words that follow its name. It returns
// an error if their number is wrong or the instance id is too long.
func (c Command) withArguments(name string, arguments [][]byte) (Command, error) {
	want := 0
	if c.Operation.TargetsInstance() {
		want = 1
	}
	switch got := len(arguments); {
	case got < want:
		return Command{}, fmt.Errorf("%s needs a server's id", name)
	case got > want:
		return Command{}, fmt.Errorf("%s: too many arguments (%d extra)", name, got-want)
	}
	if want == 0 {
		return c, nil
	}
	c.InstanceID = string(arguments[0])
	if len(c.InstanceID) > discovery.MaxIDBytes {
		return Command{}, fmt.Errorf("the id is longer than %d bytes", discovery.MaxIDBytes)
	}
	return c, nil
}
