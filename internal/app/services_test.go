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

// servicesSnapshot is a program with a route to each of a number of clusters, and the clusters, all on the same servers.
func servicesSnapshot(t testing.TB, count int, boxes ...*appbox.Box) *files.Snapshot {
	t.Helper()
	text := strings.Builder{}
	text.WriteString(program)
	for i := range count {
		fmt.Fprintf(&text, "[[host]]\ndomains = [\"s%d.example\"]\n[[host.route]]\nprefix = \"/\"\nclass = \"read\"\ncluster = \"s%d\"\n", i, i)
	}
	var list []*cluster.Config
	for i := range count {
		list = append(list, serviceConfig(i, boxes...))
	}
	return snapshot(parse(t, text.String()), list...)
}

func serviceConfig(i int, boxes ...*appbox.Box) *cluster.Config {
	var endpoints []cluster.Endpoint
	for _, b := range boxes {
		endpoints = append(endpoints, endpointOf(b))
	}
	c := rooms(endpoints...)
	c.Name = fmt.Sprint("s", i)
	return c
}

// requestStatus has a service answer a request, and gives the status.
func (s *serving) requestStatus(service int) int {
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
