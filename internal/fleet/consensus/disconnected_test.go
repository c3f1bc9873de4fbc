package consensus

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"yokestall/internal/fleet/lease"
	"yokestall/policy"
)

// Under a cautious policy, a node without a lease attempts each request once and refuses classes that are not idempotent,
// whatever version follows. Under serve-last it acts as before, and under refuse it refuses all classes.
func TestAlone(t *testing.T) {
	rng := rand.New(rand.NewPCG(39, 2))
	now := time.UnixMilli(3000)
	for range 300 {
		last, next := randomVersion(t, rng), randomVersion(t, rng)
		a := DisconnectedVersion(EffectiveVersion{Version: last},
			lease.DisconnectedPolicy{Idempotency: lease.Cautious, Routes: lease.Cautious, Endpoints: lease.Cautious}, now)
		if a.Program.Limits.MaxAttempts != 1 || a.Program.Limits.AllowHedging {
			t.Fatalf("limits %+v, want one attempt and no hedging", a.Program.Limits)
		}
		for _, c := range last.Program.Classes {
			if c.Idempotency != policy.Idempotent && a.RejectedClasses[c.Name] == "" {
				t.Fatalf("class %s is served without a lease, want it refused", c.Name)
			}
		}
		// Only these differences, which the documents name, may make the disconnected version laxer than a later one: an
		// endpoint that has since been taken out, moved or restarted; a wider slow-start budget; and routes of a class
		// that was idempotent and no longer is.
		if err := CheckNotLaxer(a, next); err != nil && !strings.HasPrefix(err.Error(), "endpoint ") &&
			!strings.HasPrefix(err.Error(), "slow start: ") &&
			!strings.HasPrefix(err.Error(), "host ") {
			t.Fatal(err)
		}
		for _, e := range a.Clusters["rooms"].Endpoints {
			if e.Serves() && e.StartedMs > 0 {
				t.Fatalf("endpoint %s may be warming up and is in use, want it draining", e.ID)
			}
		}
	}
	last := version(t, programText, clusterText)
	serveLast := lease.DisconnectedPolicy{Idempotency: lease.ServeLast, Routes: lease.ServeLast, Endpoints: lease.ServeLast}
	a := DisconnectedVersion(EffectiveVersion{Version: last}, serveLast, now)
	if CheckNotLaxer(a, last) != nil || CheckNotLaxer(EffectiveVersion{Version: last}, a.Version) != nil ||
		len(a.RejectedClasses) > 0 {
		t.Errorf("serve-last: differs from the last version, refused classes %v, want none", a.RejectedClasses)
	}
	between := EffectiveVersion{last, map[string]string{"push": "its routes change"}}
	if a := DisconnectedVersion(between, serveLast, now); a.RejectedClasses["push"] == "" {
		t.Error("class refused by the stricter combination is served without a lease, want it refused")
	}
	for _, r := range []lease.DisconnectedPolicy{
		{Idempotency: lease.Refuse, Routes: lease.ServeLast, Endpoints: lease.ServeLast},
		{Idempotency: lease.ServeLast, Routes: lease.Refuse, Endpoints: lease.ServeLast},
		{Idempotency: lease.ServeLast, Routes: lease.ServeLast, Endpoints: lease.Refuse},
	} {
		if a := DisconnectedVersion(EffectiveVersion{Version: last}, r, now); len(a.RejectedClasses) != 2 {
			t.Errorf("%+v: refused classes %v, want both", r, a.RejectedClasses)
		}
	}
	if _, err := lease.ParseDisconnectedAction("brave"); err == nil {
		t.Error(`ParseDisconnectedAction("brave") returned no error`)
	}
}
