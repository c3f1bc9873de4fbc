package scale

import (
	"fmt"
	"strings"

	"yokestall/internal/config"
	"yokestall/internal/files"
)

// class is a class of the run's configuration, with its keys beside the name.
type class struct{ name, keys string }

// classes are those of every version: one of each effect.
var classes = []class{
	{"read", "effect = \"safe\"\n"},
	{"push", "effect = \"keyed\"\nscope = \"all\"\nwindow = \"%ds\"\n"},
	{"order", "effect = \"unsafe\"\n"},
}

// settings are what versions differ in.
type settings struct {
	attempts int // contradicts nothing
	window   int // seconds, of the keyed class: contradicts
}

// firstSettings is what the firstSettings version has.
var firstSettings = settings{attempts: 2, window: 6}

// next gives the settings of the version that follows.
func (s settings) next(contradicts bool) settings {
	if contradicts {
		s.window = 13 - s.window
		return s
	}
	s.attempts = 5 - s.attempts
	return s
}

// baseConfig is a node's baseConfig file up to what it says of the fleet's agreement.
func baseConfig(address string, nodes, node int) string {
	return fmt.Sprintf("[listen]\naddress = %q\n[files]\nclusters = \"clusters\"\n[fleet]\nnodes = %d\nnode = %d\n", address, nodes, node)
}

// policyConfig are a version's classes, tenants and routes.
func (c Content) policyConfig(s settings) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[limits]\nattempts = %d\n", s.attempts)
	for _, k := range classes {
		keys := k.keys
		if strings.Contains(keys, "%d") {
			keys = fmt.Sprintf(keys, s.window)
		}
		fmt.Fprintf(&b, "[[class]]\nname = %q\n%sdeadline = \"1s\"\n", k.name, keys)
	}
	for i := range c.Tenants {
		fmt.Fprintf(&b, "[[tenant]]\nname = \"tenant-%06d\"\n", i)
	}
	b.WriteString("[[host]]\n")
	for i := range c.Routes {
		fmt.Fprintf(&b, "[[host.route]]\nprefix = \"/%06d\"\nclass = %q\ncluster = %q\n", i, classes[i%len(classes)].name, clusterName(i%c.Clusters))
	}
	return b.String()
}

func clusterName(i int) string { return fmt.Sprintf("cluster-%04d", i) }

// clusterFile is a cluster's file.
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

// endpointTable is a server in a list. Nothing is ever sent to it.
func endpointTable(i, weight int) string {
	return fmt.Sprintf("[[endpoint]]\nid = \"server-%05d\"\naddress = \"127.%d.%d.%d:9\"\nzone = \"zone-%d\"\nweight = %d\nhealth = \"healthy\"\n",
		i, 100+i>>16, i>>8&255, i&255, i%6, weight)
}

// bundle is a version's files.
func (c Content) bundle(nodes int, s settings) []config.File {
	list := []config.File{{Name: files.ProgramPart, Text: []byte(baseConfig("127.0.0.1:0", nodes, 0) + c.policyConfig(s))}}
	for i := range c.Clusters {
		list = append(list, config.File{Name: fmt.Sprintf("list-%04d.toml", i), Text: []byte(c.clusterFile(i))})
	}
	return list
}

// deltaFile is a deltaFile of the first cluster's list: one server gets another weight.
func (c Content) deltaFile(number int) config.File {
	text := fmt.Sprintf("[cluster]\nname = %q\nchange = true\n%s[end]\nendpoints = 1\n", clusterName(0), endpointTable(0, 1+number%7))
	return config.File{Name: "change.toml", Text: []byte(text)}
}
