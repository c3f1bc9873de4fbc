package lab

import (
	"time"

	"yokestall/internal/config"
)

// experimentFile holds the keys of an experiment file.
type experimentFile struct {
	Name           string          `toml:"name"`
	Description    string          `toml:"says"`
	Seed           uint64          `toml:"seed"`
	Length         config.Duration `toml:"length"`
	Nodes          int             `toml:"nodes"`
	Servers        int             `toml:"servers"`
	NetworkDelay   config.Duration `toml:"delay"`
	ListDelay      config.Duration `toml:"news"`
	FirstNodeShare float64         `toml:"lead"`
	Server         serverSection   `toml:"kind"`
	Limits         limitsSection   `toml:"limits"`
	Classes        []classSection  `toml:"class"`
	Clients        clientsSection  `toml:"clients"`
	Load           []loadSection   `toml:"load"`
	ServerFaults   []serverFault   `toml:"trouble"`
	ProcessFaults  []processFault  `toml:"fault"`
	Expect         expectSection   `toml:"expect"`
}

// serverSection describes the model of the servers.
type serverSection struct {
	Cores                int             `toml:"cores"`
	Speed                float64         `toml:"speed"`
	Queue                int             `toml:"queue"`
	SlowdownPerQueuedJob float64         `toml:"crowd"`
	SlowStartCapacity    float64         `toml:"cold_from"`
	SlowStartWindow      config.Duration `toml:"cold_for"`
	OverloadMultiple     float64         `toml:"fall_multiple"`
	OverloadDuration     config.Duration `toml:"fall_for"`
	DedupWindow          config.Duration `toml:"window"`
}

// limitsSection holds the policy's limits.
type limitsSection struct {
	Attempts      int             `toml:"attempts"`
	AllowHedging  bool            `toml:"second_copies"`
	AllowCancel   bool            `toml:"cancel"`
	MaxRetryAfter config.Duration `toml:"max_retry_after"`
}

// classSection describes a class of requests.
type classSection struct {
	Name             string          `toml:"name"`
	Effect           string          `toml:"effect"`
	DedupWindow      config.Duration `toml:"window"`
	Deadline         config.Duration `toml:"deadline"`
	LatencyObjective config.Duration `toml:"aim"`
	PriorityWeight   float64         `toml:"worth"`
	LateWeight       float64         `toml:"late_worth"`
	Work             config.Duration `toml:"work"`
	CV               float64         `toml:"cv"`
	Tail             float64         `toml:"tail"`
	Rate             float64         `toml:"rate"`
}

// clientsSection describes how clients retry.
type clientsSection struct {
	Retries         int             `toml:"retries"`
	Backoff         config.Duration `toml:"wait"`
	HonorRetryAfter float64         `toml:"honest"`
	AlignTo         config.Duration `toml:"align"`
}

// loadSection is a point of the load curve.
type loadSection struct {
	At    config.Duration `toml:"at"`
	Value float64         `toml:"value"`
}

// serverFault is a simulated fault of some servers or, if Nodes is set, of some nodes.
type serverFault struct {
	From            config.Duration `toml:"from"`
	To              config.Duration `toml:"to"`
	First           int             `toml:"first"`
	Last            int             `toml:"last"`
	Down            bool            `toml:"down"`
	Drain           bool            `toml:"drain"`
	Nodes           bool            `toml:"nodes"`
	Slow            float64         `toml:"slow"`
	Unresponsive    bool            `toml:"silent"`
	Fail            float64         `toml:"fail"`
	RestoreSnapshot bool            `toml:"knows"`
	RestartSpeed    float64         `toml:"smaller"`
	BufferReplies   bool            `toml:"holds"`
}

// processFault is a fault of processes and their links, which is played on sockets only.
type processFault struct {
	From    config.Duration `toml:"from"`
	To      config.Duration `toml:"to"`
	Kind    string          `toml:"kind"`
	Nodes   []int           `toml:"nodes"`
	Servers []int           `toml:"servers"`
	Delay   config.Duration `toml:"by"`
	Rate    int             `toml:"rate"`
}

// expectSection holds the bounds that the experiment's outcome has to meet.
type expectSection struct {
	MinService float64 `toml:"service"`
}

// defaultFile returns the defaults of the keys that a file leaves out.
func defaultFile() experimentFile {
	return experimentFile{
		Seed:         1,
		Nodes:        1,
		Server:       serverSection{Cores: 1, Speed: 1, Queue: 32},
		Limits:       limitsSection{Attempts: 3},
		NetworkDelay: config.Duration{Duration: 300 * time.Microsecond},
		ListDelay:    config.Duration{Duration: 500 * time.Millisecond},
	}
}
