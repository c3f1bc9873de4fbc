package scale

import (
	"fmt"
	"strings"

	"yokestall/internal/config"
	"yokestall/internal/files"
)

// class is a class of requests in the configuration. keys is the TOML text of its keys other than name and deadline.
type class struct{ name, keys string }

// classes are the classes of every version, one for each effect. The verb %d stands for settings.dedupWindow.
var classes = []class{
	{"read", "effect = \"safe\"\n"},
	{"push", "effect = \"keyed\"\nscope = \"all\"\nwindow = \"%ds\"\n"},
	{"order", "effect = \"unsafe\"\n"},
}

// settings are the values in which versions of the configuration differ.
type settings struct {
	attempts    int // versions that differ only in attempts don't contradict each other
	dedupWindow int // deduplication window of the keyed class, in seconds; versions that differ in it contradict each other
}

// Successive versions alternate between the two values of a setting.
var (
	attemptValues     = [...]int{2, 3}
	dedupWindowValues = [...]int{6, 7} // seconds
)

// firstSettings are the settings of the first version.
var firstSettings = settings{attempts: attemptValues[0], dedupWindow: dedupWindowValues[0]}

// next returns the settings of the following version. The two versions contradict each other if contradicts is set.
func (s settings) next(contradicts bool) settings {
	if contradicts {
		s.dedupWindow = dedupWindowValues[0] + dedupWindowValues[1] - s.dedupWindow
		return s
	}
	s.attempts = attemptValues[0] + attemptValues[1] - s.attempts
	return s
}

// baseConfig returns the part of a node's configuration file that precedes [fleet.agree].
func baseConfig(address string, nodes, node int) string {
	return fmt.Sprintf("[listen]\naddress = %q\n", address) +
		"[files]\nclusters = \"clusters\"\n" +
		fmt.Sprintf("[fleet]\nnodes = %d\nnode = %d\n", nodes, node)
}

// policyConfig returns the part of a configuration file with the limits, classes, tenants and routes.
func (c Content) policyConfig(s settings) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[limits]\nattempts = %d\n", s.attempts)
	for _, k := range classes {
		keys := k.keys
		if strings.Contains(keys, "%d") {
			keys = fmt.Sprintf(keys, s.dedupWindow)
		}
		fmt.Fprintf(&b, "[[class]]\nname = %q\n%sdeadline = \"1s\"\n", k.name, keys)
	}
	for i := range c.Tenants {
		fmt.Fprintf(&b, "[[tenant]]\nname = \"tenant-%06d\"\n", i)
	}
	b.WriteString("[[host]]\n")
	for i := range c.Routes {
		fmt.Fprintf(&b, "[[host.route]]\nprefix = \"/%06d\"\n", i)
		fmt.Fprintf(&b, "class = %q\ncluster = %q\n", classes[i%len(classes)].name, clusterName(i%c.Clusters))
	}
	return b.String()
}

func clusterName(i int) string { return fmt.Sprintf("cluster-%04d", i) }

// clusterFile returns the file with all endpoints of a cluster.
func (c Content) clusterFile(cluster int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[cluster]\nname = %q\n", clusterName(cluster))
	count := 0
	for i := cluster; i < c.Servers; i += c.Clusters {
		b.WriteString(endpointTable(i, 1))
		count++
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", count)
	return b.String()
}

// endpointTable returns the table of an endpoint in a cluster's file. No request is ever sent to the endpoint.
func endpointTable(i, weight int) string {
	const zones = 6
	address := fmt.Sprintf("127.%d.%d.%d:9", 100+i>>16, i>>8&255, i&255)
	return fmt.Sprintf("[[endpoint]]\nid = \"server-%05d\"\naddress = %q\n", i, address) +
		fmt.Sprintf("zone = \"zone-%d\"\nweight = %d\nhealth = \"healthy\"\n", i%zones, weight)
}

// bundle returns all files of a version.
func (c Content) bundle(nodes int, s settings) []config.File {
	program := baseConfig("127.0.0.1:0", nodes, 0) + c.policyConfig(s)
	list := []config.File{{Name: files.ProgramPart, Text: []byte(program)}}
	for i := range c.Clusters {
		name := fmt.Sprintf("list-%04d.toml", i)
		list = append(list, config.File{Name: name, Text: []byte(c.clusterFile(i))})
	}
	return list
}

// deltaFile returns a delta update of the first cluster that changes the weight of its first endpoint. Consecutive
// numbers give different weights.
func (c Content) deltaFile(number int) config.File {
	const weights = 7
	text := fmt.Sprintf("[cluster]\nname = %q\nchange = true\n", clusterName(0)) +
		endpointTable(0, 1+number%weights) + "[end]\nendpoints = 1\n"
	return config.File{Name: "change.toml", Text: []byte(text)}
}
