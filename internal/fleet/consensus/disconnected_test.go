package consensus

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"yokestall/internal/fleet/lease"
	"yokestall/policy"
)

// Cautious, a cut-off node sends nothing twice and nothing whose route or servers could matter, whatever version
// follows.
func TestAlone(t *testing.T) {
	rng := rand.New(rand.NewPCG(39, 2))
	now := time.UnixMilli(3000)
	for range 300 {
		last, next := randomVersion(t, rng), randomVersion(t, rng)
		a := DisconnectedVersion(EffectiveVersion{Version: last},
			lease.DisconnectedPolicy{Effects: lease.Cautious, Routes: lease.Cautious, Servers: lease.Cautious}, now)
		if a.Program.Limits.MaxAttempts != 1 || a.Program.Limits.AllowHedging {
			t.Fatalf("attempts: %+v", a.Program.Limits)
		}
		for _, c := range last.Program.Classes {
			if c.Idempotency != policy.Idempotent && a.RefusedClasses[c.Name] == "" {
				t.Fatalf("class %s is served alone", c.Name)
			}
		}
		// Of what is left, only what the documents name may be laxer than a version that follows: a server that is out by
		// then, or has moved or started; wider budgets; routes of a class that was safe and is no more.
		if err := CheckNotLaxer(a, next); err != nil && !strings.HasPrefix(err.Error(), "server ") &&
			!strings.HasPrefix(err.Error(), "cold ") &&
			!strings.HasPrefix(err.Error(), "host ") {
			t.Fatal(err)
		}
		for _, e := range a.Clusters["rooms"].Endpoints {
			if e.Serves() && e.StartedMs > 0 {
				t.Fatalf("%s may be cold", e.ID)
			}
		}
	}
	last := version(t, programText, clusterText)
	serveLast := lease.DisconnectedPolicy{Effects: lease.ServeLast, Routes: lease.ServeLast, Servers: lease.ServeLast}
	a := DisconnectedVersion(EffectiveVersion{Version: last}, serveLast, now)
	if CheckNotLaxer(a, last) != nil || CheckNotLaxer(EffectiveVersion{Version: last}, a.Version) != nil ||
		len(a.RefusedClasses) > 0 {
		t.Errorf("not as the last: %v", a.RefusedClasses)
	}
	between := EffectiveVersion{last, map[string]string{"push": "its routes change"}}
	if a := DisconnectedVersion(between, serveLast, now); a.RefusedClasses["push"] == "" {
		t.Error("what was refused between two versions is served alone")
	}
	for _, r := range []lease.DisconnectedPolicy{
		{Effects: lease.Refuse, Routes: lease.ServeLast, Servers: lease.ServeLast},
		{Effects: lease.ServeLast, Routes: lease.Refuse, Servers: lease.ServeLast},
		{Effects: lease.ServeLast, Routes: lease.ServeLast, Servers: lease.Refuse},
	} {
		if a := DisconnectedVersion(EffectiveVersion{Version: last}, r, now); len(a.RefusedClasses) != 2 {
			t.Errorf("%+v: %v", r, a.RefusedClasses)
		}
	}
	if _, err := lease.ParseDisconnectedAction("brave"); err == nil {
		t.Error("brave is a caution")
	}
}
