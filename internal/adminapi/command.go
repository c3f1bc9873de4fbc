package adminapi

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"yokestall/internal/adminstate"
	"yokestall/internal/discovery"
)

// MaxCommandBytes bounds a command, its line end included.
const MaxCommandBytes = 256

// Command is one command of an operator.
type Command struct {
	Ping       bool
	Operation  adminstate.Operation // if not Ping
	InstanceID string               // for operations that target an instance
}

// commands maps the operators' words, which are upper case only.
var commands = map[string]Command{
	"PING":     {Ping: true},
	"DETACH":   {Operation: adminstate.Detach},
	"ATTACH":   {Operation: adminstate.Attach},
	"LAMEDUCK": {Operation: adminstate.LameDuck},
	"REJOIN":   {Operation: adminstate.Rejoin},
}

// errEmptyLine is a command without a word.
var errEmptyLine = errors.New("the line is empty")

// ParseCommand parses a command without its line end. The error's text is the operator's answer.
func ParseCommand(line []byte) (Command, error) {
	if len(line) >= MaxCommandBytes {
		return Command{}, fmt.Errorf("the line is longer than %d bytes", MaxCommandBytes-1)
	}
	for i, b := range line {
		if b < ' ' || b > '~' {
			return Command{}, fmt.Errorf("byte %d of the line is not printable ASCII", i+1)
		}
	}
	words := bytes.Fields(line)
	if len(words) == 0 {
		return Command{}, errEmptyLine
	}
	c, known := commands[string(words[0])]
	if !known {
		return Command{}, fmt.Errorf("unknown call %s", strconv.Quote(string(words[0])))
	}
	return c.withArguments(string(words[0]), words[1:])
}

// withArguments returns the command with the arguments that followed its name.
func (c Command) withArguments(name string, arguments [][]byte) (Command, error) {
	want := 0
	if c.Operation.TargetsInstance() {
		want = 1
	}
	switch got := len(arguments); {
	case got < want:
		return Command{}, fmt.Errorf("%s wants a server's id", name)
	case got > want:
		return Command{}, fmt.Errorf("%s: %d words too many", name, got-want)
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
