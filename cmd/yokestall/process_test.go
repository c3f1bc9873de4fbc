package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

// process identifies a process of the operating system. The start time tells it from a later process with the same PID.
type process struct {
	pid       int
	startTime string // in clock ticks since boot, as in /proc/PID/stat
}

// childrenOf returns the processes whose parent process has the PID parent.
func childrenOf(t *testing.T, parent int) (list []process) {
	t.Helper()
	paths, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if fields := statOf(pid); fields != nil && fields[parentField] == strconv.Itoa(parent) {
			list = append(list, process{pid, fields[startField]})
		}
	}
	return list
}

// Indexes of fields in the result of statOf.
const (
	stateField  = 0
	parentField = 1
	startField  = 19
)

// statOf returns the fields of /proc/PID/stat that follow the process's name, or nil if there is no such process.
func statOf(pid int) []string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil
	}
	_, afterName, _ := strings.Cut(string(text), ") ")
	if fields := strings.Fields(afterName); len(fields) > startField {
		return fields
	}
	return nil
}

// runs reports whether the process is still running. A zombie counts as ended.
func (p process) runs() bool {
	fields := statOf(p.pid)
	return fields != nil && fields[startField] == p.startTime && fields[stateField] != "Z"
}

// awaitListening waits until a program listens on an address.
func awaitListening(t *testing.T, address string) {
	t.Helper()
	testutil.Until(t, "the program to listen", func() bool {
		nc, err := net.Dial("tcp", address)
		if err == nil {
			nc.Close()
		}
		return err == nil
	})
}
