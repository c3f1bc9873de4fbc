package config

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"yokestall/internal/cluster"
)

// FormatCluster returns the cluster file that ParseCluster parses to c.
func FormatCluster(c *cluster.Config) []byte { return formatCluster(c, "") }

// FormatChange returns a change file, as ParseChange parses it, that adds the cluster's endpoints.
func FormatChange(c *cluster.Config) []byte { return formatCluster(c, "change = true\n") }

// formatCluster formats a cluster file with extraKeys, complete lines, in the table [cluster].
func formatCluster(c *cluster.Config, extraKeys string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[cluster]\nname = %q\n%s", c.Name, extraKeys)
	if c.AllowEmpty {
		b.WriteString("no_servers = \"on purpose\"\n")
	}
	if c.Transport.HTTP2 {
		b.WriteString("protocol = \"http2\"\n")
	}
	if t := c.Transport.TLS; t != nil {
		const tls = "[cluster.tls]\nserver_name = %q\nroots = %q\ncertificate = %q\n"
		fmt.Fprintf(&b, tls, t.ServerName, t.Roots, t.Certificate)
		if len(t.Pins) > 0 {
			fmt.Fprintf(&b, "pins = [\"%s\"]\n", strings.Join(t.Pins, "\", \""))
		}
	}
	for i := range c.Endpoints {
		formatEndpoint(&b, &c.Endpoints[i])
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(c.Endpoints))
	return b.Bytes()
}

func formatEndpoint(b *bytes.Buffer, e *cluster.Endpoint) {
	fmt.Fprintf(b, "[[endpoint]]\nid = %q\naddress = %q\n", e.ID, e.Address)
	if e.Zone != "" {
		fmt.Fprintf(b, "zone = %q\n", e.Zone)
	}
	if e.Health != cluster.Healthy {
		fmt.Fprintf(b, "health = %q\n", e.Health)
	}
	for _, n := range []struct {
		key   string
		value float64
	}{
		{"cell", float64(e.Cell)}, {"weight", e.Weight},
		{"priority", float64(e.Priority)}, {"started_ms", float64(e.StartedMs)},
	} {
		if n.value != 0 {
			fmt.Fprintf(b, "%s = %s\n", n.key, strconv.FormatFloat(n.value, 'f', -1, 64))
		}
	}
}
