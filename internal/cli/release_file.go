package cli

import (
	"fmt"
	"slices"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
)

// Defaults of the settings in a release's file.
const (
	defaultAtOnce       = 1   // servers in each wave
	defaultReleaseFloor = 0.5 // share of the cluster's servers that must stay in use
)

// releaseFile is the TOML form of a release, which operators write.
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

// parseRelease parses the file of a release; name is the file's name in errors. An invalid TOML text gives an error with
// line and key, an invalid release a *cluster.Problem.
func parseRelease(name string, text []byte) (*consensus.Release, error) {
	f := releaseFile{AtOnce: defaultAtOnce, Floor: defaultReleaseFloor}
	if err := config.Decode(name, text, &f); err != nil {
		return nil, err
	}
	problem := func(field, text string) error {
		return &cluster.Problem{Source: name, Field: field, Text: text}
	}
	if len(f.Waves) > 0 && len(f.Servers) > 0 {
		return nil, problem("waves", "waves and servers exclude each other: give either waves, or servers and at_once")
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
