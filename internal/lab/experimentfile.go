package lab

import (
	"time"

	"yokestall/internal/config"
)

// Bounds of a day.
const (
	MaxRequests = 50_000_000
	MaxNodes    = 1000
	MaxServers  = 10_000
)

// noIndex is the index of a table that a file has once.
const noIndex = -1

// file is an experiment's file.
type file struct {
	Name    string           `toml:"name"`
	Says    string           `toml:"says"`
	Seed    uint64           `toml:"seed"`
	Length  config.Duration  `toml:"length"`
	Nodes   int              `toml:"nodes"`
	Servers int              `toml:"servers"`
	Delay   config.Duration  `toml:"delay"`
	News    config.Duration  `toml:"news"`
	Lead    float64          `toml:"lead"`
	Kind    kindSection      `toml:"kind"`
	Limits  limitsSection    `toml:"limits"`
	Class   []classSection   `toml:"class"`
	Clients clientsSection   `toml:"clients"`
	Load    []loadSection    `toml:"load"`
	Trouble []troubleSection `toml:"trouble"`
	Fault   []faultSection   `toml:"fault"`
	Expect  struct {
		Service float64 `toml:"service"`
	} `toml:"expect"`
}

// kindSection is the model of a server.
type kindSection struct {
	Cores        int             `toml:"cores"`
	Speed        float64         `toml:"speed"`
	Queue        int             `toml:"queue"`
	Crowd        float64         `toml:"crowd"`
	ColdFrom     float64         `toml:"cold_from"`
	ColdFor      config.Duration `toml:"cold_for"`
	FallMultiple float64         `toml:"fall_multiple"`
	FallFor      config.Duration `toml:"fall_for"`
	Window       config.Duration `toml:"window"`
}

// limitsSection is the policy's limits.
type limitsSection struct {
	Attempts      int             `toml:"attempts"`
	SecondCopies  bool            `toml:"second_copies"`
	Cancel        bool            `toml:"cancel"`
	MaxRetryAfter config.Duration `toml:"max_retry_after"`
}

// classSection is a class of requests.
type classSection struct {
	Name      string          `toml:"name"`
	Effect    string          `toml:"effect"`
	Window    config.Duration `toml:"window"`
	Deadline  config.Duration `toml:"deadline"`
	Aim       config.Duration `toml:"aim"`
	Worth     float64         `toml:"worth"`
	LateWorth float64         `toml:"late_worth"`
	Work      config.Duration `toml:"work"`
	CV        float64         `toml:"cv"`
	Tail      float64         `toml:"tail"`
	Rate      float64         `toml:"rate"`
}

// clientsSection is what clients do with a rejection.
type clientsSection struct {
	Retries int             `toml:"retries"`
	Wait    config.Duration `toml:"wait"`
	Honest  float64         `toml:"honest"`
	Align   config.Duration `toml:"align"`
}

// loadSection is a point of the load's curve.
type loadSection struct {
	At    config.Duration `toml:"at"`
	Value float64         `toml:"value"`
}

// troubleSection is a fault of some servers or nodes, in the model.
type troubleSection struct {
	From   config.Duration `toml:"from"`
	To     config.Duration `toml:"to"`
	First  int             `toml:"first"`
	Last   int             `toml:"last"`
	Down   bool            `toml:"down"`
	Drain  bool            `toml:"drain"`
	Nodes  bool            `toml:"nodes"`
	Slow   float64         `toml:"slow"`
	Silent bool            `toml:"silent"`
	Fail   float64         `toml:"fail"`
	Knows  bool            `toml:"knows"`
	Small  float64         `toml:"smaller"`
	Holds  bool            `toml:"holds"`
}

// faultSection is a fault of processes and their links.
type faultSection struct {
	From    config.Duration `toml:"from"`
	To      config.Duration `toml:"to"`
	Kind    string          `toml:"kind"`
	Nodes   []int           `toml:"nodes"`
	Servers []int           `toml:"servers"`
	By      config.Duration `toml:"by"`
	Rate    int             `toml:"rate"`
}

// defaultFile returns the values of keys that a file does not have.
func defaultFile() file {
	f := file{Seed: 1, Nodes: 1}
	f.Kind.Cores, f.Kind.Speed, f.Kind.Queue = 1, 1, 32
	f.Limits.Attempts = 3
	f.Delay.Duration, f.News.Duration = 300*time.Microsecond, 500*time.Millisecond
	return f
}
