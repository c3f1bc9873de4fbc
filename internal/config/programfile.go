package config

// programFile is the program's file as decoded.
type programFile struct {
	Listen   listenerFile   `toml:"listen"`
	Listener []listenerFile `toml:"listener"`
	Keys     struct {
		Folder string   `toml:"folder"`
		First  string   `toml:"first"`
		Poll   Duration `toml:"poll"`
	} `toml:"keys"`
	Upstream struct {
		Connections    int      `toml:"connections"`
		Idle           Duration `toml:"idle"`
		ConnectTimeout Duration `toml:"connect_timeout"`
		ClusterIdle    Duration `toml:"cluster_idle"`
	} `toml:"upstream"`
	Files struct {
		Clusters string   `toml:"clusters"`
		Tenants  string   `toml:"tenants"`
		MaxShare float64  `toml:"max_removed_share"`
		Poll     Duration `toml:"poll"`
	} `toml:"files"`
	XDS struct {
		Servers    []string `toml:"servers"`
		Variant    string   `toml:"variant"`
		NodeID     string   `toml:"node_id"`
		NodeGroup  string   `toml:"node_cluster"`
		Listener   string   `toml:"listener"`
		Routes     string   `toml:"routes"`
		Clusters   string   `toml:"clusters"`
		Class      string   `toml:"class"`
		Keep       string   `toml:"keep"`
		Folder     string   `toml:"folder"`
		MaxMessage int      `toml:"max_message_mb"`
	} `toml:"xds"`
	ExtProc struct {
		Address     string   `toml:"address"`
		Way         string   `toml:"way"`
		Connections int      `toml:"connections"`
		Streams     int      `toml:"streams"`
		PerConn     int      `toml:"streams_per_connection"`
		Head        int      `toml:"max_head_kb"`
		Message     int      `toml:"max_message_kb"`
		Answer      int      `toml:"max_answer_kb"`
		Buffer      int64    `toml:"buffer_mb"`
		First       Duration `toml:"first_message"`
		Report      Duration `toml:"report"`
		Drain       Duration `toml:"drain"`
		Override    bool     `toml:"mode_override"`
		Repeats     int      `toml:"repeats"`
		RepeatBytes int64    `toml:"repeats_mb"`
		TLS         bool     `toml:"tls"`
		ClientRoots string   `toml:"client_roots"`
		ClientNeeds bool     `toml:"client_required"`
	} `toml:"extproc"`
	Repeats struct {
		Entries int    `toml:"entries"`
		MB      int64  `toml:"mb"`
		Log     string `toml:"log"`
		Late    bool   `toml:"late"`
	} `toml:"repeats"`
	Process struct {
		MemoryMB int64 `toml:"memory_mb"`
	} `toml:"process"`
	Metrics struct {
		Address string `toml:"address"`
	} `toml:"metrics"`
	Limits struct {
		Attempts      int      `toml:"attempts"`
		SecondCopies  bool     `toml:"second_copies"`
		Cancel        bool     `toml:"cancel"`
		MaxRetryAfter Duration `toml:"max_retry_after"`
	} `toml:"limits"`
	Fleet struct {
		Nodes        int       `toml:"nodes"`
		Node         int       `toml:"node"`
		Zone         string    `toml:"zone"`
		ColdFrom     float64   `toml:"cold_from"`
		ColdFor      Duration  `toml:"cold_for"`
		FallMultiple float64   `toml:"fall_multiple"`
		FallFor      Duration  `toml:"fall_for"`
		Agree        agreeFile `toml:"agree"`
	} `toml:"fleet"`
	classFile
	Host []hostFile `toml:"host"`
}
