package config

import (
	"errors"
	"fmt"

	"yokestall/internal/cluster"
)

// ParseClusters parses all cluster files of a version and returns the clusters by name. It fails if any of the files has a
// problem.
func ParseClusters(files []File) (map[string]*cluster.Config, error) {
	names := make([]string, len(files))
	for i := range files {
		names[i] = files[i].Name
	}
	return GatherClusters(names, func(i int) (*cluster.Config, error) { return ParseCluster(files[i]) })
}

// GatherClusters collects the clusters of the files with these names, by cluster name. parse returns the cluster of the file
// at an index of names. GatherClusters checks that cluster names are unique and that the number of files and of servers is
// within the limits. Its error joins up to maxProblems problems of files.
func GatherClusters(names []string, parse func(i int) (*cluster.Config, error)) (map[string]*cluster.Config, error) {
	if len(names) > MaxFiles {
		return nil, fmt.Errorf("%d cluster files; %d at most", len(names), MaxFiles)
	}
	var found []error
	clusters := map[string]*cluster.Config{}
	servers := 0
	for i, name := range names {
		if len(found) >= maxProblems {
			break
		}
		c, err := parse(i)
		if err != nil {
			found = append(found, err)
			continue
		}
		if first := clusters[c.Name]; first != nil {
			text := fmt.Sprintf("cluster %s is already defined in %s", c.Name, first.Source)
			found = append(found, &cluster.Problem{Source: name, Text: text})
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
