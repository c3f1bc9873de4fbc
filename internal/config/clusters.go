package config

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"path"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"yokestall/internal/cluster"
)

// File is a file's name, for messages, and its bytes.
type File struct {
	Name string
	Text []byte
}

type clusterFile struct {
	Cluster struct {
		Name      string   `toml:"name"`
		Change    bool     `toml:"change"`
		Removed   []string `toml:"removed"`
		NoServers string   `toml:"no_servers"`
		ShrinkTo  *int     `toml:"shrink_to"`
		Protocol  string   `toml:"protocol"`
		TLS       *struct {
			Name        string   `toml:"server_name"`
			Roots       string   `toml:"roots"`
			Certificate string   `toml:"certificate"`
			Pins        []string `toml:"pins"`
		} `toml:"tls"`
	} `toml:"cluster"`
	Endpoint []struct {
		ID        string  `toml:"id"`
		Address   string  `toml:"address"`
		Zone      string  `toml:"zone"`
		Cell      int     `toml:"cell"`
		Weight    float64 `toml:"weight"`
		Health    string  `toml:"health"`
		Priority  int     `toml:"priority"`
		StartedMs int64   `toml:"started_ms"`
	} `toml:"endpoint"`
	End struct {
		Endpoints *int `toml:"endpoints"`
	} `toml:"end"`
}

// IsCluster tells whether a text looks like a cluster file rather than the program's own,
// by the tables in it, so that one with faults is told of those.
func IsCluster(text []byte) bool { return clusterTable.Match(text) && !programTable.Match(text) }

// ParseCluster reads a cluster file. Its last line has to be the closing entry, which
// states how many endpoints the file has:
//
//	[end]
//	endpoints = 3
//
// with its end of line and nothing behind it, so that no part of a file is ever taken
// for the whole.
func ParseCluster(file File) (*cluster.Cluster, error) {
	c, f, err := parseCluster(file)
	if err != nil {
		return nil, err
	}
	if f.Cluster.Change || len(f.Cluster.Removed) > 0 {
		return nil, &cluster.Problem{Source: file.Name, Field: "change", Text: "is a change of a list, not a list"}
	}
	return c, nil
}

// ParseChange reads a change of one cluster's list: a cluster file that says change = true, names the servers that
// are new or another now, and those that go in removed.
func ParseChange(file File) (*cluster.Patch, error) {
	c, f, err := parseCluster(file)
	if err != nil {
		return nil, err
	}
	fail := func(field, text string) error {
		return &cluster.Problem{Source: file.Name, Field: field, Text: text}
	}
	in := &f.Cluster
	switch {
	case !in.Change:
		return nil, fail("change", "is missing: change = true in [cluster]")
	case in.Name == "":
		return nil, fail("name", "is missing: of the cluster that it changes")
	case in.NoServers != "" || in.ShrinkTo != nil || in.Protocol != "" || in.TLS != nil:
		return nil, fail("change", "a change has servers alone: no no_servers, shrink_to, protocol or tls")
	case len(in.Removed) > cluster.MaxEndpoints:
		return nil, fail("removed", fmt.Sprintf("%d; %d at most", len(in.Removed), cluster.MaxEndpoints))
	case len(in.Removed)+len(c.Endpoints) == 0:
		return nil, fail("change", "changes nothing")
	}
	return &cluster.Patch{Name: c.Name, Put: c.Endpoints, Removed: in.Removed, Source: file.Name}, nil
}

// FormatCluster writes a cluster's file, as ParseCluster reads it.
func FormatCluster(c *cluster.Cluster) []byte { return formatCluster(c, "") }

// FormatChange writes a change of a list that puts these servers there, as ParseChange reads it.
func FormatChange(c *cluster.Cluster) []byte { return formatCluster(c, "change = true\n") }

func formatCluster(c *cluster.Cluster, more string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[cluster]\nname = %q\n%s", c.Name, more)
	if c.Empty {
		b.WriteString("no_servers = \"on purpose\"\n")
	}
	if c.Transport.HTTP2 {
		b.WriteString("protocol = \"http2\"\n")
	}
	if t := c.Transport.TLS; t != nil {
		fmt.Fprintf(&b, "[cluster.tls]\nserver_name = %q\nroots = %q\ncertificate = %q\n", t.Name, t.Roots, t.Certificate)
		if len(t.Pins) > 0 {
			fmt.Fprintf(&b, "pins = [\"%s\"]\n", strings.Join(t.Pins, "\", \""))
		}
	}
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		fmt.Fprintf(&b, "[[endpoint]]\nid = %q\naddress = %q\n", e.ID, e.Address)
		if e.Zone != "" {
			fmt.Fprintf(&b, "zone = %q\n", e.Zone)
		}
		if e.Health != cluster.Healthy {
			fmt.Fprintf(&b, "health = %q\n", e.Health)
		}
		for _, n := range []struct {
			key   string
			value float64
		}{{"cell", float64(e.Cell)}, {"weight", e.Weight}, {"priority", float64(e.Priority)}, {"started_ms", float64(e.Started)}} {
			if n.value != 0 {
				fmt.Fprintf(&b, "%s = %s\n", n.key, strconv.FormatFloat(n.value, 'f', -1, 64))
			}
		}
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(c.Endpoints))
	return b.Bytes()
}

func parseCluster(file File) (*cluster.Cluster, *clusterFile, error) {
	var f clusterFile
	if len(file.Text) > MaxFile {
		return nil, nil, &cluster.Problem{Source: file.Name, Text: fmt.Sprintf("over %d bytes", MaxFile)}
	}
	if !closing.Match(file.Text[max(0, len(file.Text)-64):]) {
		return nil, nil, &cluster.Problem{Source: file.Name, Line: bytes.Count(file.Text, []byte("\n")) + 1, Text: "is not whole: " +
			`the last lines have to be "[end]" and "endpoints = N"`}
	}
	if err := decode(file.Name, file.Text, &f, clusterLimits); err != nil {
		return nil, nil, err
	}
	c := &cluster.Cluster{Name: f.Cluster.Name, Source: file.Name, ShrinkTo: -1}
	l := sync.OnceValue(func() lines { return newLines(file.Text) })
	at := func(index int, field string) int {
		if index < 0 {
			return l().of("cluster", 0, field)
		}
		return l().of("endpoint", index, field)
	}
	if c.Name == "" {
		c.Name = strings.TrimSuffix(path.Base(file.Name), ".toml")
	}
	switch f.Cluster.NoServers {
	case "":
	case "on purpose":
		c.Empty = true
	default:
		return nil, nil, &cluster.Problem{Source: file.Name, Line: at(-1, "no_servers"), Field: "no_servers", Text: `may say "on purpose" only`}
	}
	switch f.Cluster.Protocol {
	case "", "http1":
	case "http2":
		c.Transport.HTTP2 = true
	default:
		return nil, nil, &cluster.Problem{Source: file.Name, Line: at(-1, "protocol"), Field: "protocol", Text: "is none of http1, http2"}
	}
	if t := f.Cluster.TLS; t != nil {
		for _, pin := range t.Pins {
			if sum, err := base64.StdEncoding.DecodeString(pin); err != nil || len(sum) != 32 {
				return nil, nil, &cluster.Problem{Source: file.Name, Line: l().of("cluster.tls", 0, "pins"), Field: "pins", Text: fmt.Sprintf("%q is no SHA-256 in base 64", pin)}
			}
		}
		c.Transport.TLS = &cluster.TLS{Name: t.Name, Roots: t.Roots, Certificate: t.Certificate, Pins: t.Pins}
	}
	if n := f.Cluster.ShrinkTo; n != nil {
		if *n < 0 {
			return nil, nil, &cluster.Problem{Source: file.Name, Line: at(-1, "shrink_to"), Field: "shrink_to", Text: "is negative"}
		}
		c.ShrinkTo = *n
	}
	if n := f.End.Endpoints; n == nil || *n != len(f.Endpoint) {
		text := fmt.Sprintf("%d servers are named", len(f.Endpoint))
		if n != nil {
			text = fmt.Sprintf("says %d, ", *n) + text
		}
		return nil, nil, &cluster.Problem{Source: file.Name, Line: l().of("end", 0, "endpoints"), Field: "end: endpoints", Text: text}
	}
	for i, e := range f.Endpoint {
		health, err := cluster.ParseHealth(e.Health)
		if err != nil {
			return nil, nil, &cluster.Problem{Source: file.Name, Line: at(i, "health"), Field: "health", Text: err.Error()}
		}
		c.Endpoints = append(c.Endpoints, cluster.Endpoint{
			ID: e.ID, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, Health: health, Started: e.StartedMs,
			Priority: e.Priority,
		})
	}
	c.Empty = c.Empty || f.Cluster.Change && len(c.Endpoints) == 0 // all that it does is to remove some
	if err := c.Check(at); err != nil {
		return nil, nil, err
	}
	return c, &f, nil
}

// ParseClusters reads all cluster files of a version. Any fault in any of them is a
// fault of the version.
func ParseClusters(files []File) (map[string]*cluster.Cluster, error) {
	names := make([]string, len(files))
	for i := range files {
		names[i] = files[i].Name
	}
	return GatherClusters(names, func(i int) (*cluster.Cluster, error) { return ParseCluster(files[i]) })
}

// GatherClusters is ParseClusters for files with these names, of which parse gives the cluster of each.
func GatherClusters(names []string, parse func(i int) (*cluster.Cluster, error)) (map[string]*cluster.Cluster, error) {
	if len(names) > MaxFiles {
		return nil, fmt.Errorf("%d cluster files; %d at most", len(names), MaxFiles)
	}
	var found []error
	clusters := map[string]*cluster.Cluster{}
	servers := 0
	for i, name := range names {
		if len(found) >= maxFaults {
			break
		}
		c, err := parse(i)
		if err != nil {
			found = append(found, err)
			continue
		}
		if first := clusters[c.Name]; first != nil {
			found = append(found, &cluster.Problem{Source: name, Text: fmt.Sprintf("cluster %s is %s's too", c.Name, first.Source)})
			continue
		}
		if servers += len(c.Endpoints); servers > MaxServers {
			return nil, &cluster.Problem{Source: name, Text: fmt.Sprintf("over %d servers in all clusters together", MaxServers)}
		}
		clusters[c.Name] = c
	}
	if len(found) > 0 {
		return nil, errors.Join(found...)
	}
	return clusters, nil
}

var (
	clusterTable = regexp.MustCompile(`(?m)^[ \t]*(\[[ \t]*(cluster|end)[ \t]*\]|\[\[[ \t]*endpoint[ \t]*\]\])`)
	programTable = regexp.MustCompile(`(?m)^[ \t]*\[\[?[ \t]*(listen|upstream|files|process|limits|fleet|class|tenant|host)[ \t.\]]`)
)

var closing = regexp.MustCompile(`(?:^|\n)endpoints = ([0-9]{1,6})\n$`)
