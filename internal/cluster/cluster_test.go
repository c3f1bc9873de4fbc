package cluster

import "fmt"

// endpoints returns n endpoints, sorted by id.
func endpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{
			ID: fmt.Sprintf("s-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), Weight: 1,
		})
	}
	return list
}

// newConfig returns a cluster whose source is the file NAME.toml.
func newConfig(name string, list []Endpoint) *Config {
	return &Config{Name: name, Endpoints: list, ShrinkTo: ShrinkUnspecified, Source: name + ".toml"}
}
