package process

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"math/rand/v2"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
)

// Place has the addresses in a generated configuration: of the process and of its fake servers.
type Place struct {
	Listen string // address of the process's listener
	// Server returns the address of server j. It is the same for each service, because all services share the fake servers.
	Server func(j int) string
}

// DefaultPlace returns loopback addresses for files that are only checked, so that no process listens on the addresses.
func DefaultPlace() Place {
	return Place{Listen: "127.0.0.1:8080", Server: func(j int) string {
		return fmt.Sprintf("127.%d.%d.%d:9001", 1+j/62500, j/250%250, 1+j%250)
	}}
}

// Generator generates the configuration files of one size. The same size, seed and place give the same bytes.
type Generator struct {
	Size  Size
	Seed  uint64
	Place Place
}

// routeKind is the way in which a generated route matches requests.
type routeKind int

const (
	templateRoute routeKind = iota
	prefixRoute
	exactRoute
	regexRoute
	writeRoute    // a template route for POST requests only, of class "write"
	catchAllRoute // the last route of a host, which matches all other requests
)

// routeKindCycle has the kinds of a host's routes, which repeat in this order.
var routeKindCycle = [...]routeKind{
	templateRoute, prefixRoute, templateRoute, exactRoute, prefixRoute,
	templateRoute, regexRoute, prefixRoute, writeRoute, templateRoute,
}

// quotaSigma is the sigma of the log-normal distribution of the tenants' quotas: a few quotas are large, most are small.
const quotaSigma = 1.5

// ServiceName returns the name of service i, which its cluster and its host have too.
func ServiceName(i int) string { return fmt.Sprintf("service-%04d", i) }

// TenantName returns the name of tenant i.
func TenantName(i int) string { return fmt.Sprintf("tenant-%07d", i) }

// hostName returns the domain of service i.
func hostName(i int) string { return ServiceName(i) + ".example.org" }

// routeCount returns how many routes service i has. The numbers of two services differ by at most one.
func (g *Generator) routeCount(i int) int {
	n := g.Size.Routes / g.Size.Services
	if i < g.Size.Routes%g.Size.Services {
		n++
	}
	return n
}

// kind returns the kind of route j of service i.
func (g *Generator) kind(i, j int) routeKind {
	if j == g.routeCount(i)-1 {
		return catchAllRoute
	}
	return routeKindCycle[j%len(routeKindCycle)]
}

// Settings has the values of a generated configuration that a measurement changes.
type Settings struct {
	Version int // part of the version route's direct response, which shows which settings are in force
	// Step is added to the first tenant's quota, or to max_retry_after in milliseconds if the program's file has no tenants.
	// Another value is a change of settings.
	Step int
	// Text is part of the direct response of the route "text". Another value is a change of this route alone.
	Text int
}

// VersionHost is the domain of the host whose version route answers with the Settings.Version in force.
const VersionHost = "version.example.org"

// VersionText returns the body of the version route's direct response.
func VersionText(s Settings) string { return fmt.Sprintf("version %d", s.Version) }

// Program returns the program's main configuration file.
func (g *Generator) Program(s Settings) []byte {
	var b bytes.Buffer
	g.WriteProgram(&b, s)
	return b.Bytes()
}

// classesConfig has the classes of the generated routes: idempotent reads, and writes that are idempotent by key.
const classesConfig = `[[class]]
name = "read"
effect = "safe"
deadline = "1400ms"
aim = "580ms"
worth = 2

[[class]]
name = "write"
effect = "keyed"
scope = "all"
window = "6s"
deadline = "1900ms"
aim = "750ms"
worth = 8

`

// WriteProgram writes the program's main configuration file. It ignores the writer's errors: the caller gets them from the
// writer, for example from Flush of a bufio.Writer.
func (g *Generator) WriteProgram(b io.Writer, s Settings) {
	fmt.Fprintf(b, "[listen]\naddress = %q\n\n[files]\nclusters = \"clusters\"\n", g.Place.Listen)
	if g.Size.TenantsFile {
		fmt.Fprintf(b, "tenants = %q\n", tenantsFile)
	}
	if g.Size.MemoryMB > 0 {
		fmt.Fprintf(b, "\n[process]\nmemory_mb = %d\n", g.Size.MemoryMB)
	}
	g.writeLimits(b, s)
	fmt.Fprintf(b, "[fleet]\nnodes = %d\nnode = 0\nzone = \"zone-0\"\n\n", g.Size.Nodes)
	io.WriteString(b, classesConfig)
	if !g.Size.TenantsFile {
		g.writeTenants(b, s.Step)
	}
	writeVersionHost(b, s)
	for i := range g.Size.Services {
		g.writeHost(b, i)
	}
}

func (g *Generator) writeLimits(b io.Writer, s Settings) {
	maxRetryAfter := 600 // in milliseconds
	if g.Size.Tenants == 0 || g.Size.TenantsFile {
		maxRetryAfter += s.Step
	}
	io.WriteString(b, "\n[limits]\nattempts = 3\nsecond_copies = true\ncancel = true\n")
	fmt.Fprintf(b, "max_retry_after = \"%dms\"\n\n", maxRetryAfter)
}

// writeVersionHost writes the host with the two routes whose direct responses have the Version and the Text of s.
func writeVersionHost(b io.Writer, s Settings) {
	fmt.Fprintf(b, "\n[[host]]\nname = \"version\"\ndomains = [%q]\n", VersionHost)
	fmt.Fprintf(b, "[[host.route]]\nname = \"version\"\npath = \"/version\"\n")
	fmt.Fprintf(b, "answer = { status = 200, text = %q }\n", VersionText(s))
	fmt.Fprintf(b, "[[host.route]]\nname = \"text\"\npath = \"/text\"\n")
	fmt.Fprintf(b, "answer = { status = 200, text = \"text %d\" }\n", s.Text)
}

// WriteTenants writes the tenants' file of a size with Size.TenantsFile. It ignores the writer's errors, as WriteProgram does.
func (g *Generator) WriteTenants(b io.Writer) {
	g.writeTenants(b, 0)
	fmt.Fprintf(b, "\n[end]\ntenants = %d\n", g.Size.Tenants)
}

// writeTenants writes all tenants. step is added to the first tenant's quota.
func (g *Generator) writeTenants(b io.Writer, step int) {
	rng := rand.New(rand.NewPCG(g.Seed, 1))
	for i := range g.Size.Tenants {
		quota := math.Ceil(100*math.Exp(quotaSigma*rng.NormFloat64())) / 10
		if i == 0 {
			quota = float64(1000 + step)
		}
		fmt.Fprintf(b, "[[tenant]]\nname = %q\nquota_per_s = %g\n", TenantName(i), quota)
	}
}

// writeHost writes the host of service i with its routes.
func (g *Generator) writeHost(b io.Writer, i int) {
	fmt.Fprintf(b, "\n[[host]]\nname = %q\ndomains = [%q]\n", ServiceName(i), hostName(i))
	for j := range g.routeCount(i) {
		class := "read"
		fmt.Fprintf(b, "[[host.route]]\nname = \"r%d\"\n", j)
		switch g.kind(i, j) {
		case templateRoute:
			fmt.Fprintf(b, "template = \"/orders-%d/{order}/items/{item}\"\n", j)
		case prefixRoute:
			fmt.Fprintf(b, "prefix = \"/files-%d/\"\n", j)
		case exactRoute:
			fmt.Fprintf(b, "path = \"/reports-%d/daily\"\n", j)
		case regexRoute:
			fmt.Fprintf(b, "regex = \"/search-%d/[a-z]+\"\n", j)
		case writeRoute:
			class = "write"
			fmt.Fprintf(b, "template = \"/bookings-%d/{booking}\"\nmethods = [\"POST\"]\n", j)
		case catchAllRoute:
			io.WriteString(b, "prefix = \"/\"\n")
		}
		fmt.Fprintf(b, "class = %q\ncluster = %q\n", class, ServiceName(i))
	}
}

// Cluster returns the cluster file of service i. change is added to the weight of its first server, so that another value is a
// change of this cluster's endpoint list.
func (g *Generator) Cluster(i, change int) []byte {
	const zones, cells = 3, 2
	c := &cluster.Config{Name: ServiceName(i)}
	for j := range g.Size.Servers {
		weight := 1.0
		if j == 0 {
			weight += float64(change)
		}
		c.Endpoints = append(c.Endpoints, cluster.Endpoint{
			ID: fmt.Sprintf("%s-%05d", c.Name, j), Address: g.Place.Server(j),
			Zone: fmt.Sprintf("zone-%d", j%zones), Cell: j / zones % cells, Weight: weight,
		})
	}
	return config.FormatCluster(c)
}
