package wire

import (
	"os"
	"reflect"
	"testing"
	"time"

	"yokestall/policy"
)

// The golden file holds every key that is read of an instance's settings. Others write such
// files, so the names, types and units of the keys must not change; this program writes none.
func TestGoldenSettingsParse(t *testing.T) {
	text, err := os.ReadFile("testdata/golden/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	const ms = time.Millisecond
	want := policy.Settings{
		Nodes: 3, Node: 2, Zone: 1,
		Classes: []policy.Class{
			{Deadline: 1401 * ms, Aim: 581 * ms, AimStretch: 4.25, LateWorth: 0.51, Worth: 2.25, Effect: policy.Keyed, Scope: policy.ScopeZone, Window: 5001 * ms, Stream: true},
			{Deadline: 1402 * ms, Aim: 582 * ms, AimStretch: 5.25, LateWorth: 0.52, Worth: 3.25, Effect: policy.Safe, Scope: policy.ScopeAll, Window: 5002 * ms},
			{Deadline: 1403 * ms, Aim: 583 * ms, AimStretch: 6.25, LateWorth: 0.53, Worth: 4.25, Effect: policy.Unsafe, Scope: policy.ScopeCell, Window: 5003 * ms},
		},
		Tenants:        []policy.Tenant{{QuotaPerS: 84.5}, {QuotaPerS: 85.5}},
		OverShareWorth: 0.05, WorthByWork: true, ListAsked: true, Tick: 7 * ms,
		Limits: policy.Limits{MaxAttempts: 4, SecondCopies: true, Cancel: true, MaxRetryAfter: 605 * ms},
		Rules:  policy.Rules{ColdFrom: 0.32, ColdFor: 8801 * ms, FallMultiple: 3.5, FallFor: 1002 * ms, MustAsk: 9003 * ms, AnswerGrace: 104 * ms},
		Prices: policy.Prices{Handshake: 0.061, Waste: 0.062},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}
