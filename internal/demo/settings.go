package demo

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"yokestall/internal/app"
	"yokestall/internal/fake/controlplane"
)

// clusterName is the name of the cluster of the demo.
const clusterName = "rooms"

// baseSettings are the settings of the load balancer that are the same with files and with a control plane.
const baseSettings = `# Written by yokestall demo. yokestall serve accepts this file unchanged.
[listen]
address = "127.0.0.1:0"
connections = 256

[files]
clusters = "clusters"
poll = "200ms"

[limits]
attempts = 3
second_copies = true
cancel = true
max_retry_after = "600ms"

[[class]]
name = "avail-read"
effect = "safe"
deadline = "1400ms"
aim = "580ms"
worth = 2

[[class]]
name = "booking-push"
effect = "keyed"
scope = "all"
window = "6s"
deadline = "1900ms"
aim = "750ms"
worth = 8

`

// routeSettings are the settings that follow baseSettings if the routes do not come from a control plane.
const routeSettings = `[[class]]
name = "payment"
effect = "unsafe"
deadline = "1900ms"
aim = "750ms"
worth = 8

[[host]]
domains = ["*"]

[[host.route]]
name = "bookings"
template = "/hotels/{hotel}/bookings"
methods = ["POST"]
class = "booking-push"
cluster = "rooms"

[[host.route]]
name = "payments"
prefix = "/payments/"
class = "payment"
cluster = "rooms"

[[host.route]]
name = "the rest"
prefix = "/"
class = "avail-read"
cluster = "rooms"
`

func (d *demo) settingsFile() string { return filepath.Join(d.folder, "yokestall.toml") }

func (d *demo) clusterFile() string { return filepath.Join(d.folder, "clusters", clusterName+".toml") }

// writeSettings writes the settings file and the first endpoint list, and returns the options of the load balancer. It
// starts the control plane if Options.XDS is set, and creates the TLS keys if Options.TLS is set.
func (d *demo) writeSettings() (options app.Options, err error) {
	options = app.Options{Seed: 1, Log: d.Log, OnSend: d.recordSend}
	if err := os.Mkdir(filepath.Dir(d.clusterFile()), 0o755); err != nil {
		return options, err
	}
	if d.XDS {
		if d.plane, err = controlplane.Start(); err != nil {
			return options, err
		}
		d.onClose(d.plane.Down)
	}
	if d.TLS {
		if d.keys, err = newKeyRotation(d.folder, d.Log); err != nil {
			return options, err
		}
		options.Keys = d.keys.store
	}
	if err := os.WriteFile(d.settingsFile(), []byte(d.settings()), 0o644); err != nil {
		return options, err
	}
	return options, d.writeEndpoints(nil)
}

// settings returns the contents of the settings file of the load balancer.
func (d *demo) settings() string {
	text := baseSettings
	if d.XDS {
		text += fmt.Sprintf("[xds]\nservers = [%q]\nnode_id = \"demo\"\nlistener = \"ingress\"\n", d.plane.Addr())
	} else {
		text += routeSettings
	}
	if d.TLS {
		text = strings.Replace(text, "connections = 256\n",
			"connections = 256\ntls = true\n\n[keys]\nfolder = \"keys\"\npoll = \"50ms\"\n", 1)
	}
	if d.ExtProc {
		text = strings.Replace(text, "[limits]\n", "[extproc]\naddress = \"127.0.0.1:0\"\n\n[limits]\n", 1)
		text = strings.Replace(text, "prefix = \"/\"\n", "prefix = \"/\"\nprocessor = \"pick\"\n", 1)
	}
	return text
}
