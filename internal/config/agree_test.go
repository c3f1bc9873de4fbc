package config

import (
	"strings"
	"testing"
	"time"

	"yokestall/internal/fleet/lease"
)

const fleetProgram = `[listen]
address = "127.0.0.1:0"
[files]
clusters = "clusters"
[fleet]
nodes = 2
node = 1
[fleet.agree]
name = "north"
node = "a"
voters = ["a=127.0.0.1:9100", "b=127.0.0.1:9101", "c=127.0.0.1:9102"]
listen = "127.0.0.1:9100"
[[class]]
name = "read"
effect = "safe"
deadline = "1s"
[[host]]
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
`

// Guards against defaults that differ from the documented ones, whose activation bound must be at most two seconds; against
// invalid settings in [fleet.agree] that are accepted or reported without their file and line; and against an agreed version
// that replaces settings of the node itself, or that is accepted with fewer nodes than the node's number requires.
func TestAgree(t *testing.T) {
	p, err := ParseProgram("n.toml", []byte(fleetProgram))
	if err != nil {
		t.Fatal(err)
	}
	a := p.Agree
	if !a.On() || len(a.Voters) != 3 || a.Folder != "agree" || a.Disconnected != (lease.DisconnectedPolicy{Idempotency: lease.Cautious, Routes: lease.Cautious, Endpoints: lease.Cautious}) || a.Lease.ActivationBound() > 2*time.Second {
		t.Errorf("got %+v, activation bound %v; want three voters, the documented defaults and a bound of at most 2s", a, a.Lease.ActivationBound())
	}
	if plain, err := ParseProgram("n.toml", []byte(strings.Replace(fleetProgram, fleetProgram[strings.Index(fleetProgram, "[fleet.agree]"):strings.Index(fleetProgram, "[[class]]")], "", 1))); err != nil || plain.Agree.On() {
		t.Errorf("without [fleet.agree]: got error %v, want no error and On() = false", err)
	}
	for _, tc := range []struct{ old, new, want string }{
		{`name = "north"`, `name = ""`, "n.toml:9: fleet.agree: name: length is not from 1 to"},
		{`node = "a"`, ``, "fleet.agree: node: length is not from 1 to"},
		{`, "c=127.0.0.1:9102"`, ``, "voters: 2 voters are listed; the number must be 1, 3, 5 or 7"},
		{`"b=127.0.0.1:9101"`, `"a=127.0.0.1:9101"`, "repeats the name or the address of another voter"},
		{`"b=127.0.0.1:9101"`, `"b=127.0.0.1:9100"`, "repeats the name or the address of another voter"},
		{`"b=127.0.0.1:9101"`, `"b"`, "is not NAME=HOST:PORT"},
		{`"b=127.0.0.1:9101"`, `"b=10.0.0.1:9101"`, "host is not a loopback address"},
		{`listen = "127.0.0.1:9100"`, ``, "listen: is missing"},
		{`listen = "127.0.0.1:9100"`, `listen = "9100"`, "is not host:port"},
		{`listen = `, "roots = \"fleet\"\nlisten = ", "roots and certificate must be set together"},
		{`listen = `, "roots = \"fleet\"\ncertificate = \"x\"\nlisten = ", "requires the folder in [keys]"},
		{`listen = `, "lease = \"1ms\"\nlisten = ", "lease: 1ms is not from 100ms"},
		{`listen = `, "drift = nan\nlisten = ", "drift: NaN"},
		{`listen = `, "drift = 0.5\nlisten = ", "drift: 0.5 is not from 0 to 0.25"},
		{`listen = `, "take = \"0s\"\nlisten = ", "take: 0s is not"},
		{"[[class]]", "[fleet.agree.alone]\nlists = \"brave\"\n[[class]]", "none of [cautious refuse serve-last]"},
		{"[[class]]", "[fleet.agree.alone]\nfor = \"-1s\"\n[[class]]", "alone.for: -1s is negative"},
		{"[[class]]", "[xds]\nfolder = \"x\"\n[[class]]", "only one of them may be set"},
		{`listen = `, "quorum = 2\nlisten = ", "is no known key"},
	} {
		text := strings.Replace(fleetProgram, tc.old, tc.new, 1)
		if _, err := ParseProgram("n.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), tc.want) || !strings.Contains(err.Error(), "n.toml:") {
			t.Errorf("%q in place of %q: got error %v, want %q with the file and line", tc.new, tc.old, err, tc.want)
		}
	}
	v := *p
	v.Nodes = 1
	if _, err := p.Agreed(&v); err == nil {
		t.Error("Agreed accepted a version with one node on the node with number 1, which counts from 0")
	}
	v.Nodes, v.Limits.MaxAttempts, v.Zone = 5, 9, "elsewhere"
	if out, err := p.Agreed(&v); err != nil || out.Nodes != 5 || out.Limits.MaxAttempts != 9 || out.Zone != p.Zone || out.Node != 1 {
		t.Errorf("got %+v, error %v; want nodes and limits of the version, zone and number of the node", out, err)
	}
}

// Guards against a formatted cluster file that is parsed to another cluster, and against a change that is parsed as a full
// endpoint list or the reverse.
func TestFormatCluster(t *testing.T) {
	text := "[cluster]\nname = \"rooms\"\nprotocol = \"http2\"\n[cluster.tls]\nserver_name = \"x\"\nroots = \"r\"\n[[endpoint]]\nid = \"a\"\naddress = \"10.0.0.1:80\"\nzone = \"z\"\ncell = 2\nweight = 1.5\nhealth = \"degraded\"\npriority = 1\nstarted_ms = 1790000000000\n[end]\nendpoints = 1\n"
	c, err := ParseCluster(File{Name: "x.toml", Text: []byte(text)})
	if err != nil {
		t.Fatal(err)
	}
	again, err := ParseCluster(File{Name: "x.toml", Text: FormatCluster(c)})
	if err != nil || again.Endpoints[0] != c.Endpoints[0] || again.Transport.TLS.ServerName != "x" || again.Transport.TLS.Roots != "r" || !again.Transport.HTTP2 {
		t.Errorf("formatted and parsed again: got %+v, error %v; want the cluster before formatting", again, err)
	}
	if _, err := ParseCluster(File{Name: "x.toml", Text: FormatChange(c)}); err == nil || !strings.Contains(err.Error(), "is a change") {
		t.Errorf("ParseCluster of a change: got error %v, want one that says it is a change", err)
	}
	if _, err := ParseChange(File{Name: "x.toml", Text: FormatCluster(c)}); err == nil {
		t.Error("ParseChange accepted an endpoint list")
	}
	c.Transport = again.Transport
	c.Transport.HTTP2, c.Transport.TLS = false, nil
	p, err := ParseChange(File{Name: "x.toml", Text: FormatChange(c)})
	if err != nil || p.Name != "rooms" || len(p.Upserts) != 1 || p.Upserts[0] != c.Endpoints[0] {
		t.Errorf("got change %+v, error %v; want the cluster's one endpoint as an upsert of rooms", p, err)
	}
}
