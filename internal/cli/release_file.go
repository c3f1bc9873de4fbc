package cli

import (
	"fmt"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
)

// releaseFile is a release as operators write it.
type releaseFile struct {
	Cluster string          `toml:"cluster"`
	Servers []string        `toml:"servers"`
	AtOnce  int             `toml:"at_once"`
	Waves   [][]string      `toml:"waves"`
	Floor   float64         `toml:"floor"`
	Drain   config.Duration `toml:"drain"`
	Away    config.Duration `toml:"away"`
	Warm    config.Duration `toml:"warm"`
}

// parseRelease reads a release's file.
func parseRelease(name string, text []byte) (*consensus.Release, error) {
	f := releaseFile{AtOnce: 1, Floor: 0.5}
	if err := config.Decode(name, text, &f); err != nil {
		return nil, err
	}
	fail := func(field, what string) error {
		return &cluster.Problem{Source: name, Field: field, Text: what}
	}
	if len(f.Waves) > 0 && len(f.Servers) > 0 {
		return nil, fail("waves", "waves, or servers and at_once")
	}
	if f.AtOnce < 1 {
		return nil, fail("at_once", fmt.Sprintf("%d is below 1", f.AtOnce))
	}
	r := &consensus.Release{
		ID: agent.NewID(), Cluster: f.Cluster, Waves: f.Waves, Floor: f.Floor, Drain: f.Drain.Duration, Restart: f.Away.Duration, Warm: f.Warm.Duration,
	}
	for left := f.Servers; len(left) > 0; {
		n := min(f.AtOnce, len(left))
		r.Waves, left = append(r.Waves, left[:n]), left[n:]
	}
	if err := r.Check(); err != nil {
		return nil, fail("", err.Error())
	}
	return r, nil
}
