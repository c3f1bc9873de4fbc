package simulator

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"yokestall/policy"
)

// ms reads a time in milliseconds; it stays at its default where a key is absent.
type ms struct {
	value time.Duration
	given bool
}

func (m *ms) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	var v float64
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	d, ok := duration(v)
	if !ok {
		return fmt.Errorf("time %v is too long", v)
	}
	m.value, m.given = d, true
	return nil
}

func (m ms) or(d time.Duration) time.Duration {
	if m.given {
		return m.value
	}
	return d
}

type settingsJSON struct {
	Accounts  []struct{ QuotaPerS float64 }
	Balancers *int
	Classes   []struct {
		DeadlineMs, PromiseMs, KeyTtlMs ms
		AimStretch, LateWorth           float64
		Importance                      *float64
		Effect, DedupScope              string
		Streaming                       bool
	}
	Contract struct {
		ColdFrom, FallMultiple      *float64
		ColdMs, FallMs, MustAskInMs ms
		GraceToAnswerMs             ms
	}
	CountedBy  string
	Deductions struct{ Handshake, Waste float64 }
	Limits     struct {
		Cancel, RetryAfter, SecondCopies bool
		MaxAttempts                      *int
		MaxRetryAfterMs                  ms
	}
	Locality       int
	Me             int
	OverShareWorth *float64
	RegistryMode   string
	TickMs         ms
}

// set replaces a default by what was given.
func set[T any](to *T, given *T) {
	if given != nil {
		*to = *given
	}
}

// ParseSettings reads an instance's settings. Unknown keys are skipped and
// absent ones keep policy.Defaults; a class without an effect counts as unsafe.
func ParseSettings(text []byte) (policy.Settings, error) {
	s := policy.Defaults()
	var j settingsJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	set(&s.NodeCount, j.Balancers)
	set(&s.OverQuotaWeight, j.OverShareWorth)
	set(&s.Limits.MaxAttempts, j.Limits.MaxAttempts)
	set(&s.Rules.SlowStartMinCapacity, j.Contract.ColdFrom)
	set(&s.Rules.OverloadMultiple, j.Contract.FallMultiple)
	s.NodeIndex = j.Me
	s.Zone = j.Locality
	s.WeightPerWork = j.CountedBy == "work"
	s.Limits.AllowCancel, s.Limits.AllowHedging = j.Limits.Cancel, j.Limits.SecondCopies
	if j.Limits.RetryAfter {
		s.Limits.MaxRetryAfter = j.Limits.MaxRetryAfterMs.or(0)
	}
	s.Rules.SlowStartWindow = j.Contract.ColdMs.or(s.Rules.SlowStartWindow)
	s.Rules.OverloadDuration = j.Contract.FallMs.or(s.Rules.OverloadDuration)
	s.Rules.AnswerGrace = j.Contract.GraceToAnswerMs.or(s.Rules.AnswerGrace)
	s.Costs = policy.Costs{NewConnection: j.Deductions.Handshake, WastedWork: j.Deductions.Waste}
	s.Tick = j.TickMs.or(s.Tick)
	s.Rules.MaxPollInterval = j.Contract.MustAskInMs.or(s.Rules.MaxPollInterval)
	var ok bool
	if s.PollEndpoints, ok = word(j.RegistryMode, registries); !ok {
		return s, fmt.Errorf("settings: RegistryMode: unknown word %q", j.RegistryMode)
	}
	for i, c := range j.Classes {
		p := policy.Class{
			Deadline: c.DeadlineMs.or(0), LatencyObjective: c.PromiseMs.or(c.DeadlineMs.or(0)), ObjectiveWorkFactor: c.AimStretch,
			LateWeight: c.LateWorth, PriorityWeight: 1, DedupWindow: c.KeyTtlMs.or(0), Stream: c.Streaming,
		}
		set(&p.PriorityWeight, c.Importance)
		if p.Idempotency, ok = word(c.Effect, effects); !ok {
			return s, fmt.Errorf("settings: Classes[%d].Effect: unknown word %q", i, c.Effect)
		}
		if p.DedupScope, ok = word(c.DedupScope, scopes); !ok {
			return s, fmt.Errorf("settings: Classes[%d].DedupScope: unknown word %q", i, c.DedupScope)
		}
		s.Classes = append(s.Classes, p)
	}
	for _, t := range j.Accounts {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerS: t.QuotaPerS})
	}
	if math.IsNaN(s.OverQuotaWeight) {
		return s, fmt.Errorf("settings: OverShareWorth: not a number")
	}
	return s, nil
}

var effects = map[string]policy.Idempotency{
	"pure": policy.Idempotent, "token": policy.IdempotentByKey, "side_effect": policy.NotIdempotent, "": policy.NotIdempotent,
}

var registries = map[string]bool{"": false, "pushed": false, "on_request": true}

// An absent scope is the narrowest.
var scopes = map[string]policy.Scope{
	"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell, "": policy.ScopeCell,
}

func word[T any](w string, words map[string]T) (T, bool) {
	v, ok := words[w]
	return v, ok
}
