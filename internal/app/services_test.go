package app

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"yokestall/internal/cluster"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/files"
)

// servicesConfiguration returns a configuration version with a number of clusters and a host with a route for each. The
// clusters are called services and are named s0, s1 and so on. All have the same servers.
func servicesConfiguration(t testing.TB, count int, servers ...*appbox.Server) *files.Configuration {
	t.Helper()
	text := strings.Builder{}
	text.WriteString(program)
	for i := range count {
		fmt.Fprintf(&text, "[[host]]\ndomains = [\"s%d.example\"]\n", i)
		fmt.Fprintf(&text, "[[host.route]]\nprefix = \"/\"\nclass = \"read\"\ncluster = \"s%d\"\n", i)
	}
	var list []*cluster.Config
	for i := range count {
		list = append(list, serviceConfig(i, servers...))
	}
	return newConfiguration(parse(t, text.String()), list...)
}

// serviceConfig returns the cluster of the service with index i.
func serviceConfig(i int, servers ...*appbox.Server) *cluster.Config {
	var endpoints []cluster.Endpoint
	for _, b := range servers {
		endpoints = append(endpoints, endpointOf(b))
	}
	c := roomsCluster(endpoints...)
	c.Name = fmt.Sprint("s", i)
	return c
}

// requestStatus sends a request to a service and returns the status of the answer, or 0 if there is none.
func (s *testApp) requestStatus(service int) int {
	r, err := http.NewRequest(http.MethodGet, s.url+"/", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = fmt.Sprintf("s%d.example", service)
	resp, err := s.client.Do(r)
	if err != nil {
		s.t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
