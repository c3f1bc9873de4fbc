package config

import (
	"strings"
	"testing"
	"time"

	"yokestall/internal/fleet/lease"
)

const agreeing = `[listen]
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

// What is wrong with [fleet.agree] is told by its line; what is left out has the values of the documents, whose bound
// is below two seconds.
func TestAgree(t *testing.T) {
	p, err := ParseProgram("n.toml", []byte(agreeing))
	if err != nil {
		t.Fatal(err)
	}
	a := p.Agree
	if !a.On() || len(a.Voters) != 3 || a.Folder != "agree" || a.Disconnected != (lease.DisconnectedPolicy{Effects: lease.Cautious, Routes: lease.Cautious, Servers: lease.Cautious}) || a.Lease.ActivationBound() > 2*time.Second {
		t.Errorf("%+v, bound %v", a, a.Lease.ActivationBound())
	}
	if plain, err := ParseProgram("n.toml", []byte(strings.Replace(agreeing, agreeing[strings.Index(agreeing, "[fleet.agree]"):strings.Index(agreeing, "[[class]]")], "", 1))); err != nil || plain.Agree.On() {
		t.Errorf("without it: %v", err)
	}
	for _, tc := range []struct{ old, new, want string }{
		{`name = "north"`, `name = ""`, "n.toml:9: fleet.agree: name: 1 to"},
		{`node = "a"`, ``, "fleet.agree: node: 1 to"},
		{`, "c=127.0.0.1:9102"`, ``, "voters: 2; 1, 3, 5 or 7 vote"},
		{`"b=127.0.0.1:9101"`, `"a=127.0.0.1:9101"`, "is there twice"},
		{`"b=127.0.0.1:9101"`, `"b=127.0.0.1:9100"`, "is there twice"},
		{`"b=127.0.0.1:9101"`, `"b"`, "is not NAME=HOST:PORT"},
		{`"b=127.0.0.1:9101"`, `"b=10.0.0.1:9101"`, "only an address of this machine"},
		{`listen = "127.0.0.1:9100"`, ``, "listen: is missing"},
		{`listen = "127.0.0.1:9100"`, `listen = "9100"`, "is not host:port"},
		{`listen = `, "roots = \"fleet\"\nlisten = ", "roots and certificate go together"},
		{`listen = `, "roots = \"fleet\"\ncertificate = \"x\"\nlisten = ", "has no [keys] folder"},
		{`listen = `, "lease = \"1ms\"\nlisten = ", "lease: 1ms is not from 100ms"},
		{`listen = `, "drift = nan\nlisten = ", "drift: NaN"},
		{`listen = `, "drift = 0.5\nlisten = ", "drift: 0.5 is not from 0 to 0.25"},
		{`listen = `, "take = \"0s\"\nlisten = ", "take: 0s is not"},
		{"[[class]]", "[fleet.agree.alone]\nlists = \"brave\"\n[[class]]", "none of [cautious refuse serve-last]"},
		{"[[class]]", "[fleet.agree.alone]\nfor = \"-1s\"\n[[class]]", "alone.for: -1s is below 0"},
		{"[[class]]", "[xds]\nfolder = \"x\"\n[[class]]", "one of [xds] and [fleet.agree]"},
		{`listen = `, "quorum = 2\nlisten = ", "is no known key"},
	} {
		text := strings.Replace(agreeing, tc.old, tc.new, 1)
		if _, err := ParseProgram("n.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), tc.want) || !strings.Contains(err.Error(), "n.toml:") {
			t.Errorf("%q for %q: %v; want %q", tc.new, tc.old, err, tc.want)
		}
	}
	v := *p
	v.Nodes = 1
	if _, err := p.Agreed(&v); err == nil {
		t.Error("node 1 of 1")
	}
	v.Nodes, v.Limits.MaxAttempts, v.Zone = 5, 9, "elsewhere"
	if out, err := p.Agreed(&v); err != nil || out.Nodes != 5 || out.Limits.MaxAttempts != 9 || out.Zone != p.Zone || out.Node != 1 {
		t.Errorf("%+v, %v", out, err)
	}
}

// A list that is written is read back the same, and a change is no list.
func TestFormatCluster(t *testing.T) {
	text := "[cluster]\nname = \"rooms\"\nprotocol = \"http2\"\n[cluster.tls]\nserver_name = \"x\"\nroots = \"r\"\n[[endpoint]]\nid = \"a\"\naddress = \"10.0.0.1:80\"\nzone = \"z\"\ncell = 2\nweight = 1.5\nhealth = \"degraded\"\npriority = 1\nstarted_ms = 1790000000000\n[end]\nendpoints = 1\n"
	c, err := ParseCluster(File{Name: "x.toml", Text: []byte(text)})
	if err != nil {
		t.Fatal(err)
	}
	again, err := ParseCluster(File{Name: "x.toml", Text: FormatCluster(c)})
	if err != nil || again.Endpoints[0] != c.Endpoints[0] || again.Transport.TLS.ServerName != "x" || again.Transport.TLS.Roots != "r" || !again.Transport.HTTP2 {
		t.Errorf("%+v, %v", again, err)
	}
	if _, err := ParseCluster(File{Name: "x.toml", Text: FormatChange(c)}); err == nil || !strings.Contains(err.Error(), "is a change") {
		t.Errorf("a change as a list: %v", err)
	}
	if _, err := ParseChange(File{Name: "x.toml", Text: FormatCluster(c)}); err == nil {
		t.Error("a list as a change")
	}
	c.Transport = again.Transport
	c.Transport.HTTP2, c.Transport.TLS = false, nil
	p, err := ParseChange(File{Name: "x.toml", Text: FormatChange(c)})
	if err != nil || p.Name != "rooms" || len(p.Upserts) != 1 || p.Upserts[0] != c.Endpoints[0] {
		t.Errorf("%+v, %v", p, err)
	}
}
