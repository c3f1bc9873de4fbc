package simulator

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"yokestall/policy"
)

// optionalDuration is a time that the protocol gives in milliseconds; it stays at its default where a key is absent.
type optionalDuration struct {
	value time.Duration
	given bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *optionalDuration) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	var v float64
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	d, ok := parseMilliseconds(v)
	if !ok {
		return fmt.Errorf("time %v is too long", v)
	}
	m.value, m.given = d, true
	return nil
}

// or returns the time, or d where the key is absent.
func (m optionalDuration) or(d time.Duration) time.Duration {
	if m.given {
		return m.value
	}
	return d
}

// settingsMessage is an instance's settings in the protocol's form. The tags are the protocol's names.
type settingsMessage struct {
	Tenants []struct {
		QuotaPerS float64 `json:"QuotaPerS"` // requests a second
	} `json:"Accounts"`
	NodeCount *int           `json:"Balancers"`
	Classes   []classMessage `json:"Classes"`
	Rules     struct {
		SlowStartMinCapacity *float64         `json:"ColdFrom"`
		OverloadMultiple     *float64         `json:"FallMultiple"`
		SlowStartWindow      optionalDuration `json:"ColdMs"`
		OverloadDuration     optionalDuration `json:"FallMs"`
		MaxPollInterval      optionalDuration `json:"MustAskInMs"`
		AnswerGrace          optionalDuration `json:"GraceToAnswerMs"`
	} `json:"Contract"`
	WeightUnit string `json:"CountedBy"`
	Costs      struct {
		NewConnection float64 `json:"Handshake"`
		WastedWork    float64 `json:"Waste"`
	} `json:"Deductions"`
	Limits struct {
		AllowCancel     bool             `json:"Cancel"`
		AllowRetryAfter bool             `json:"RetryAfter"`
		AllowHedging    bool             `json:"SecondCopies"`
		MaxAttempts     *int             `json:"MaxAttempts"`
		MaxRetryAfter   optionalDuration `json:"MaxRetryAfterMs"`
	} `json:"Limits"`
	Zone            int      `json:"Locality"`
	NodeIndex       int      `json:"Me"`
	OverQuotaWeight *float64 `json:"OverShareWorth"`
	// DiscoveryMode says whether the list is pushed or polled. Under the same key within "Deductions" stands the price
	// of a list, which only package node reads.
	DiscoveryMode string           `json:"RegistryMode"`
	Tick          optionalDuration `json:"TickMs"`
}

// classMessage is a class of requests in the protocol's form.
type classMessage struct {
	Deadline            optionalDuration `json:"DeadlineMs"`
	LatencyObjective    optionalDuration `json:"PromiseMs"`
	DedupWindow         optionalDuration `json:"KeyTtlMs"`
	ObjectiveWorkFactor float64          `json:"AimStretch"`
	LateWeight          float64          `json:"LateWorth"`
	PriorityWeight      *float64         `json:"Importance"`
	Idempotency         string           `json:"Effect"`
	DedupScope          string           `json:"DedupScope"`
	Stream              bool             `json:"Streaming"`
}

// set replaces a default by the value given, if any.
func set[T any](to, given *T) {
	if given != nil {
		*to = *given
	}
}

// ParseSettings parses an instance's settings (JSON). Unknown keys are skipped, and absent ones leave
// policy.Defaults. A class without an effect is not idempotent. The error names the key.
func ParseSettings(text []byte) (policy.Settings, error) {
	s := policy.Defaults()
	var m settingsMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	set(&s.NodeCount, m.NodeCount)
	set(&s.OverQuotaWeight, m.OverQuotaWeight)
	s.NodeIndex = m.NodeIndex
	s.Zone = m.Zone
	s.WeightPerWork = m.WeightUnit == "work"
	s.Costs = policy.Costs{NewConnection: m.Costs.NewConnection, WastedWork: m.Costs.WastedWork}
	s.Tick = m.Tick.or(s.Tick)
	m.setLimits(&s.Limits)
	m.setRules(&s.Rules)
	var ok bool
	if s.PollEndpoints, ok = pollsByMode[m.DiscoveryMode]; !ok {
		return s, fmt.Errorf("settings: RegistryMode: unknown word %q", m.DiscoveryMode)
	}
	for i := range m.Classes {
		class, err := m.Classes[i].class(fmt.Sprintf("settings: Classes[%d]", i))
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range m.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerS: t.QuotaPerS})
	}
	if math.IsNaN(s.OverQuotaWeight) {
		return s, fmt.Errorf("settings: OverShareWorth: not a number")
	}
	return s, nil
}

// setLimits sets the limits that are given.
func (m *settingsMessage) setLimits(to *policy.Limits) {
	set(&to.MaxAttempts, m.Limits.MaxAttempts)
	to.AllowCancel, to.AllowHedging = m.Limits.AllowCancel, m.Limits.AllowHedging
	if m.Limits.AllowRetryAfter {
		to.MaxRetryAfter = m.Limits.MaxRetryAfter.or(0)
	}
}

// setRules sets the rules' figures that are given.
func (m *settingsMessage) setRules(to *policy.Rules) {
	set(&to.SlowStartMinCapacity, m.Rules.SlowStartMinCapacity)
	set(&to.OverloadMultiple, m.Rules.OverloadMultiple)
	to.SlowStartWindow = m.Rules.SlowStartWindow.or(to.SlowStartWindow)
	to.OverloadDuration = m.Rules.OverloadDuration.or(to.OverloadDuration)
	to.AnswerGrace = m.Rules.AnswerGrace.or(to.AnswerGrace)
	to.MaxPollInterval = m.Rules.MaxPollInterval.or(to.MaxPollInterval)
}

// class converts the class. place is its path in the settings, for errors.
func (m *classMessage) class(place string) (policy.Class, error) {
	deadline := m.Deadline.or(0)
	c := policy.Class{
		Deadline:            deadline,
		LatencyObjective:    m.LatencyObjective.or(deadline),
		ObjectiveWorkFactor: m.ObjectiveWorkFactor,
		LateWeight:          m.LateWeight,
		PriorityWeight:      1,
		DedupWindow:         m.DedupWindow.or(0),
		Stream:              m.Stream,
	}
	set(&c.PriorityWeight, m.PriorityWeight)
	var ok bool
	if c.Idempotency, ok = idempotencies[m.Idempotency]; !ok {
		return c, fmt.Errorf("%s.Effect: unknown word %q", place, m.Idempotency)
	}
	if c.DedupScope, ok = scopes[m.DedupScope]; !ok {
		return c, fmt.Errorf("%s.DedupScope: unknown word %q", place, m.DedupScope)
	}
	return c, nil
}

// idempotencies maps the protocol's names of effects.
var idempotencies = map[string]policy.Idempotency{
	"pure":        policy.Idempotent,
	"token":       policy.IdempotentByKey,
	"side_effect": policy.NotIdempotent,
	"":            policy.NotIdempotent,
}

// pollsByMode maps the protocol's discovery modes to whether the endpoint list has to be polled.
var pollsByMode = map[string]bool{"": false, "pushed": false, "on_request": true}

// scopes maps the protocol's names of deduplication scopes. The narrowest is the default.
var scopes = map[string]policy.Scope{
	"all":  policy.ScopeAll,
	"zone": policy.ScopeZone,
	"cell": policy.ScopeCell,
	"":     policy.ScopeCell,
}
