package cli

import (
	"fmt"
	"slices"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
)

// Defaults of a release's file.
const (
	defaultAtOnce       = 1   // servers of a wave
	defaultReleaseFloor = 0.5 // share of the servers that stay in use
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

// parseRelease reads a release's file. An error is a *cluster.Problem, or one that says line and key.
func parseRelease(name string, text []byte) (*consensus.Release, error) {
	f := releaseFile{AtOnce: defaultAtOnce, Floor: defaultReleaseFloor}
	if err := config.Decode(name, text, &f); err != nil {
		return nil, err
	}
	problem := func(field, text string) error {
		return &cluster.Problem{Source: name, Field: field, Text: text}
	}
	if len(f.Waves) > 0 && len(f.Servers) > 0 {
		return nil, problem("waves", "waves, or servers and at_once")
	}
	if f.AtOnce < 1 {
		return nil, problem("at_once", fmt.Sprintf("%d is below 1", f.AtOnce))
	}
	r := &consensus.Release{
		ID:      agent.NewID(),
		Cluster: f.Cluster,
		Waves:   f.Waves,
		Floor:   f.Floor,
		Drain:   f.Drain.Duration,
		Restart: f.Away.Duration,
		Warm:    f.Warm.Duration,
	}
	for wave := range slices.Chunk(f.Servers, f.AtOnce) {
		r.Waves = append(r.Waves, wave)
	}
	if err := r.Check(); err != nil {
		return nil, problem("", err.Error())
	}
	return r, nil
}
