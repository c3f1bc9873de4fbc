package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// process is one of the system's; begun tells it from a later one of its number.
type process struct {
	pid   int
	begun string
}

// childrenOf gives the processes that another one has started.
func childrenOf(t *testing.T, parent int) (list []process) {
	t.Helper()
	paths, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if fields := statOf(pid); fields != nil && fields[1] == strconv.Itoa(parent) {
			list = append(list, process{pid, fields[startField]})
		}
	}
	return list
}

// startField is where statOf has the time when a process was started.
const startField = 19

// statOf gives what /proc says of a process behind its name: state, parent and so on; nil: there is none.
func statOf(pid int) []string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil
	}
	_, behind, _ := strings.Cut(string(text), ") ")
	if fields := strings.Fields(behind); len(fields) > startField {
		return fields
	}
	return nil
}

// runs tells whether it has not ended; one that has, and that nobody has waited for yet, runs no more.
func (p process) runs() bool {
	fields := statOf(p.pid)
	return fields != nil && fields[startField] == p.begun && fields[0] != "Z"
}
