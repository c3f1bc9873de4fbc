package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"path"
	"regexp"
	"strings"
	"sync"

	"yokestall/internal/cluster"
)

// File is the content of a file, and the name that problems give as their source.
type File struct {
	Name string
	Text []byte
}

// clusterFile is a cluster file as decoded.
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

// IsCluster reports whether a text has tables of a cluster file and none of the program's own file. It lets
// a caller choose the parser for a file of unknown kind, so that a faulty cluster file is reported as such.
func IsCluster(text []byte) bool { return clusterTableRE.Match(text) && !programTableRE.Match(text) }

// ParseCluster parses a cluster file. The file must end with a closing entry that has the number of endpoints:
//
//	[end]
//	endpoints = 3
//
// A line feed must end the entry and nothing may follow it, so that no truncated file is accepted as complete. Errors are
// cluster.Problems with their lines.
func ParseCluster(file File) (*cluster.Config, error) {
	c, f, err := parseCluster(file)
	if err != nil {
		return nil, err
	}
	if f.Cluster.Change || len(f.Cluster.Removed) > 0 {
		return nil, &cluster.Problem{Source: file.Name, Field: "change", Text: "is a change, not a complete endpoint list"}
	}
	return c, nil
}

// CheckCluster checks a cluster file, which may be a change of one. Errors are cluster.Problems.
func CheckCluster(file File) error {
	_, _, err := parseCluster(file)
	return err
}

// ParseChange parses a change to a cluster's endpoint list: a cluster file with change = true that has the new and the changed
// endpoints, and the IDs of removed endpoints under the key removed. Errors are cluster.Problems.
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
		return nil, fail("change", "is missing: a change has change = true in [cluster]")
	case in.Name == "":
		return nil, fail("name", "is missing: a change must name the cluster that it changes")
	case in.NoServers != "" || in.ShrinkTo != nil || in.Protocol != "" || in.TLS != nil:
		return nil, fail("change", "a change may only have endpoints: no no_servers, shrink_to, protocol or tls")
	case len(in.Removed) > cluster.MaxEndpoints:
		return nil, fail("removed", fmt.Sprintf("%d removed endpoints; the limit is %d", len(in.Removed), cluster.MaxEndpoints))
	case len(in.Removed)+len(c.Endpoints) == 0:
		return nil, fail("change", "neither adds, changes nor removes an endpoint")
	}
	return &cluster.Patch{Name: c.Name, Upserts: c.Endpoints, RemovedIDs: in.Removed, Source: file.Name}, nil
}

// clusterReader converts a decoded cluster file into a cluster.Config.
type clusterReader struct {
	name  string // the file's name
	in    *clusterFile
	lines func() lineFinder
	out   *cluster.Config
}

// parseCluster parses a cluster file, which may be a change. It also returns the decoded file.
func parseCluster(file File) (*cluster.Config, *clusterFile, error) {
	c, f, err := parseClusterContent(file)
	if err := joinChecksumProblem(file.Name, file.Text, err); err != nil {
		return nil, nil, err
	}
	return c, f, nil
}

func parseClusterContent(file File) (*cluster.Config, *clusterFile, error) {
	if len(file.Text) > MaxFileBytes {
		return nil, nil, &cluster.Problem{Source: file.Name, Text: fmt.Sprintf("over %d bytes", MaxFileBytes)}
	}
	if !clusterEndRE.Match(lastBytes(file.Text)) {
		const text = `is not whole: the last lines have to be "[end]" and "endpoints = N"`
		lastLine := bytes.Count(file.Text, []byte("\n")) + 1
		return nil, nil, &cluster.Problem{Source: file.Name, Line: lastLine, Text: text}
	}
	var f clusterFile
	if err := decode(file.Name, file.Text, &f, clusterLimits); err != nil {
		return nil, nil, err
	}
	r := clusterReader{
		name: file.Name, in: &f, lines: sync.OnceValue(func() lineFinder { return newLineFinder(file.Text) }),
		out: &cluster.Config{Name: f.Cluster.Name, Source: file.Name, ShrinkTo: cluster.ShrinkUnspecified},
	}
	if err := r.read(); err != nil {
		return nil, nil, err
	}
	return r.out, &f, nil
}

// read converts and checks the whole file, up to the first problem of a part.
func (r *clusterReader) read() error {
	if r.out.Name == "" {
		r.out.Name = strings.TrimSuffix(path.Base(r.name), ".toml")
	}
	for _, part := range []func() error{r.readCluster, r.readTLS, r.readShrinkTo, r.readEndpoints} {
		if err := part(); err != nil {
			return err
		}
	}
	// A change that only removes endpoints has an empty list.
	r.out.AllowEmpty = r.out.AllowEmpty || r.in.Cluster.Change && len(r.out.Endpoints) == 0
	return r.out.Check(r.line)
}

// line returns the line of a key in the table of the endpoint with this index, or in the table [cluster] if index is
// negative.
func (r *clusterReader) line(index int, key string) int {
	if index < 0 {
		return r.lines().find("cluster", 0, key)
	}
	return r.lines().find("endpoint", index, key)
}

// problem returns a problem of a key in the table of the endpoint with this index, or in the table [cluster] if index is
// negative.
func (r *clusterReader) problem(index int, key, text string) error {
	return &cluster.Problem{Source: r.name, Line: r.line(index, key), Field: key, Text: text}
}

// readCluster reads the keys no_servers and protocol of the table [cluster].
func (r *clusterReader) readCluster() error {
	switch r.in.Cluster.NoServers {
	case "":
	case "on purpose":
		r.out.AllowEmpty = true
	default:
		return r.problem(-1, "no_servers", `the only allowed value is "on purpose"`)
	}
	switch r.in.Cluster.Protocol {
	case "", "http1":
	case "http2":
		r.out.Transport.HTTP2 = true
	default:
		return r.problem(-1, "protocol", "is not one of http1, http2")
	}
	return nil
}

func (r *clusterReader) readTLS() error {
	t := r.in.Cluster.TLS
	if t == nil {
		return nil
	}
	for _, pin := range t.Pins {
		if sum, err := base64.StdEncoding.DecodeString(pin); err != nil || len(sum) != sha256.Size {
			return &cluster.Problem{
				Source: r.name, Line: r.lines().find("cluster.tls", 0, "pins"), Field: "pins",
				Text: fmt.Sprintf("%q is not a SHA-256 hash in base64", pin),
			}
		}
	}
	r.out.Transport.TLS = &cluster.TLS{ServerName: t.Name, Roots: t.Roots, Certificate: t.Certificate, Pins: t.Pins}
	return nil
}

func (r *clusterReader) readShrinkTo() error {
	n := r.in.Cluster.ShrinkTo
	if n == nil {
		return nil
	}
	if *n < 0 {
		return r.problem(-1, "shrink_to", "is negative")
	}
	r.out.ShrinkTo = *n
	return nil
}

// readEndpoints reads the endpoints. Their number must equal that of the closing entry.
func (r *clusterReader) readEndpoints() error {
	list := r.in.Endpoint
	if n := r.in.End.Endpoints; n == nil || *n != len(list) {
		text := fmt.Sprintf("%d servers are named", len(list))
		if n != nil {
			text = fmt.Sprintf("says %d, ", *n) + text
		}
		line := r.lines().find("end", 0, "endpoints")
		return &cluster.Problem{Source: r.name, Line: line, Field: "end: endpoints", Text: text}
	}
	for i, e := range list {
		health, err := cluster.ParseHealth(e.Health)
		if err != nil {
			return r.problem(i, "health", err.Error())
		}
		r.out.Endpoints = append(r.out.Endpoints, cluster.Endpoint{
			ID: e.ID, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, Health: health,
			StartedMs: e.StartedMs, Priority: e.Priority,
		})
	}
	return nil
}

// Patterns of the table headers by which IsCluster distinguishes cluster files from the program's file.
var (
	clusterTableRE = regexp.MustCompile(`(?m)^[ \t]*(\[[ \t]*(cluster|end)[ \t]*\]|\[\[[ \t]*endpoint[ \t]*\]\])`)
	programTableRE = regexp.MustCompile(
		`(?m)^[ \t]*\[\[?[ \t]*(listen|upstream|files|process|limits|fleet|class|tenant|host)[ \t.\]]`)
)

// clusterEndRE matches the last line of a complete cluster file.
var clusterEndRE = regexp.MustCompile(`(?:^|\n)endpoints = ([0-9]{1,6})\n$`)
