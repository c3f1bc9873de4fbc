package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
)

// FloodProcess is a flood whose clients run in a process of their own, so that they take no time of the clients whose answers the
// caller measures.
type FloodProcess struct {
	command *exec.Cmd
	input   io.Closer
	output  bytes.Buffer
}

// StartFloodProcess starts the clients of a flood. executable is a build of internal/stress/crowd/floods. The process ends with
// the caller's. The caller must call Stop.
func StartFloodProcess(executable string, o FloodOptions) (*FloodProcess, error) {
	options, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	p := &FloodProcess{command: exec.Command(executable, string(options))}
	p.command.Stdout, p.command.Stderr = &p.output, os.Stderr
	if p.input, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	return p, p.command.Start()
}

// Stop ends the clients and returns the number of requests that they have sent.
func (p *FloodProcess) Stop() (sent int64, err error) {
	p.input.Close()
	if err := p.command.Wait(); err != nil {
		return 0, fmt.Errorf("process of the flood: %w", err)
	}
	return strconv.ParseInt(strings.TrimSpace(p.output.String()), 10, 64)
}

// ParseFloodOptions reads the options that StartFloodProcess has given to a process.
func ParseFloodOptions(text string) (o FloodOptions, err error) {
	err = json.Unmarshal([]byte(text), &o)
	return o, err
}
