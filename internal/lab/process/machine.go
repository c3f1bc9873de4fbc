package process

import (
	"errors"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
)

// Machine describes the machine that a run was measured on.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	System   string  `json:"system"`
	Go       string  `json:"go"`
	Load     float64 `json:"load_1m"` // load average over the last minute at the run's start
}

// machine describes this machine. Memory and load average are 0 if they can't be read.
func machine() Machine {
	m := Machine{Cores: runtime.NumCPU(), System: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version()}
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		if bytes, err := statusBytes(string(text), "MemTotal:"); err == nil {
			m.MemoryMB = bytes >> 20
		}
	}
	if load, err := loadAverage(); err == nil {
		m.Load = load
	}
	return m
}

// loadAverage returns the machine's load average over the last minute.
func loadAverage() (float64, error) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0, err
	}
	first, _, ok := strings.Cut(string(text), " ")
	if !ok {
		return 0, errors.New("/proc/loadavg: no fields")
	}
	return strconv.ParseFloat(first, 64)
}

// revision returns the commit that the program was built from, as the go command records it in the executable, or "unknown". It
// adds " with changes" if the working tree had uncommitted changes.
func revision() string {
	commit, changed := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				commit = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = " with changes"
			}
		}
	}
	return commit + changed
}
