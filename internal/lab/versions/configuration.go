package versions

import (
	"fmt"
	"strings"

	"yokestall/internal/config"
	"yokestall/internal/files"
)

const (
	configurationName = "lab"   // name of the configuration that the processes agree on
	clusterName       = "rooms" // name of the only cluster
)

// class is a class of requests. Its route has the prefix "/NAME".
type class struct {
	name       string
	idempotent bool
	keyed      bool   // idempotent by key
	effect     string // the keys of effect, scope and window in the program's file
}

// classes holds the classes of a run, by their index in the record's events.
var classes = []class{
	{name: "read", idempotent: true, effect: "effect = \"safe\""},
	{name: "push", keyed: true, effect: "effect = \"keyed\"\nscope = \"all\"\nwindow = \"6s\""},
	{name: "order", effect: "effect = \"unsafe\""},
}

// nodeName returns the name of a node in the agreement.
func nodeName(node int) string { return fmt.Sprint("n", node) }

// programFile returns the text of a program file. For ownFileStamp this is the node's own file; for another stamp it is
// the program file of the version with that stamp.
func (r *run) programFile(node, stamp int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[listen]\naddress = %q\n", r.rig.Processes[node].Addr)
	b.WriteString("[files]\nclusters = \"clusters\"\n[limits]\nattempts = 3\nmax_retry_after = \"1s\"\n")
	fmt.Fprintf(&b, "[fleet]\nnodes = %d\nnode = %d\n", r.Nodes, node)
	if stamp == ownFileStamp {
		r.writeAgreement(&b, node)
	}
	for _, c := range classes {
		fmt.Fprintf(&b, "[[class]]\nname = %q\n%s\ndeadline = \"1s\"\n", c.name, c.effect)
	}
	b.WriteString("[[host]]\n")
	for _, c := range classes {
		fmt.Fprintf(&b, "[[host.route]]\nprefix = \"/%s\"\nclass = %q\ncluster = %q\n", c.name, c.name, clusterName)
		fmt.Fprintf(&b, "[host.route.request.set]\n%s = \"%d\"\n", stampHeader, stamp)
	}
	return b.String()
}

// writeAgreement writes the table [fleet.agree] of a node. The node reaches the other voters by the rig's links.
func (r *run) writeAgreement(b *strings.Builder, node int) {
	fmt.Fprintf(b, "[fleet.agree]\nname = %q\nnode = %q\n", configurationName, nodeName(node))
	fmt.Fprintf(b, "listen = %q\n", r.voterAddresses[node])
	fmt.Fprintf(b, "lease = %q\ndrift = %v\ntake = %q\n", r.Lease.Duration, r.Lease.MaxClockDrift, r.Lease.ApplyTimeout)
	b.WriteString("voters = [")
	for voter := range r.Voters {
		address := r.voterAddresses[voter]
		if voter != node {
			address = r.rig.PeerLinks[node][voter].Addr
		}
		fmt.Fprintf(b, "%q,", nodeName(voter)+"="+address)
	}
	b.WriteString("]\n")
}

// versionFiles returns the configuration files of the version with a stamp.
func (r *run) versionFiles(stamp int) []config.File {
	return []config.File{
		{Name: files.ProgramPart, Text: []byte(r.programFile(0, stamp))},
		{Name: clusterName + ".toml", Text: []byte(r.clusterFile(stamp))},
	}
}

// clusterFile returns the text of the cluster's file in the version with a stamp.
func (r *run) clusterFile(stamp int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[cluster]\nname = %q\n", clusterName)
	for i, address := range r.serverAddresses {
		health := "healthy"
		if r.isDraining(stamp, i) {
			health = "draining"
		}
		fmt.Fprintf(&b, "[[endpoint]]\nid = %q\naddress = %q\n", serverID(i), address)
		fmt.Fprintf(&b, "zone = \"a\"\nweight = 1\nhealth = %q\n", health)
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(r.serverAddresses))
	return b.String()
}

// serverID returns the endpoint id of a server, given by its index.
func serverID(server int) string { return fmt.Sprint("s-", server) }

// isDraining reports whether a server is draining in the version with a stamp. This is the server whose index is the stamp
// modulo the number of servers; in an experiment with a release it is none.
func (r *run) isDraining(stamp, server int) bool { return !r.Release && stamp%r.Servers == server }
