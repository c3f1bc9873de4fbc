package simulator

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"yokestall/policy"
)

// optionalDuration is a duration that the settings give in milliseconds. Its zero value stands for a key that is absent
// or null.
type optionalDuration struct {
	value time.Duration
	given bool
}

// UnmarshalJSON implements json.Unmarshaler. It rejects times for which parseMilliseconds reports false.
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

// or returns the duration, or d if the key is absent or null.
func (m optionalDuration) or(d time.Duration) time.Duration {
	if m.given {
		return m.value
	}
	return d
}

// settingsMessage is an instance's settings as the protocol encodes them in JSON. The tags are the protocol's keys.
type settingsMessage struct {
	Tenants []struct {
		QuotaPerS float64 `json:"QuotaPerS"` // requests per second
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
	// DiscoveryMode says whether the endpoint list is pushed or polled. The key "RegistryMode" within "Deductions" is
	// another setting, the price of an endpoint list, which only package node reads.
	DiscoveryMode string           `json:"RegistryMode"`
	Tick          optionalDuration `json:"TickMs"`
}

// classMessage is a class of requests as the protocol encodes it in JSON.
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

// setIfGiven stores *given in *to, unless given is nil because the key is absent or null.
func setIfGiven[T any](to, given *T) {
	if given != nil {
		*to = *given
	}
}

// ParseSettings parses an instance's settings (JSON). Unknown keys are ignored, and settings whose keys are absent have
// the values of policy.DefaultSettings, except as noted at setLimits. A class without the key "Effect" is not idempotent.
// The error names the key, except for malformed JSON and for a time that is out of range.
func ParseSettings(text []byte) (policy.Settings, error) {
	s := policy.DefaultSettings()
	var m settingsMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	setIfGiven(&s.NodeCount, m.NodeCount)
	setIfGiven(&s.OverQuotaWeight, m.OverQuotaWeight)
	s.NodeIndex = m.NodeIndex
	s.Zone = m.Zone
	s.WeightPerWork = m.WeightUnit == "work"
	s.Costs = policy.Costs{NewConnection: m.Costs.NewConnection, WastedWork: m.Costs.WastedWork}
	s.Tick = m.Tick.or(s.Tick)
	m.setLimits(&s.Limits)
	m.setRules(&s.Rules)
	var ok bool
	if s.PollEndpoints, ok = pollsByMode[m.DiscoveryMode]; !ok {
		return s, fmt.Errorf("settings: RegistryMode: unknown mode %q, want \"pushed\" or \"on_request\", or leave the key out",
			m.DiscoveryMode)
	}
	for i := range m.Classes {
		class, err := m.Classes[i].class(fmt.Sprintf("settings: Classes[%d]", i))
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range m.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerSecond: t.QuotaPerS})
	}
	if math.IsNaN(s.OverQuotaWeight) {
		return s, fmt.Errorf("settings: OverShareWorth: the value is not a number")
	}
	return s, nil
}

// setLimits copies the limits to the policy's. MaxAttempts keeps its default if its key is absent. MaxRetryAfter
// keeps its default if Retry-After is not allowed; if Retry-After is allowed, an absent key means 0.
func (m *settingsMessage) setLimits(to *policy.Limits) {
	setIfGiven(&to.MaxAttempts, m.Limits.MaxAttempts)
	to.AllowCancel, to.AllowHedging = m.Limits.AllowCancel, m.Limits.AllowHedging
	if m.Limits.AllowRetryAfter {
		to.MaxRetryAfter = m.Limits.MaxRetryAfter.or(0)
	}
}

// setRules copies the rules to the policy's. A rule whose key is absent keeps its default.
func (m *settingsMessage) setRules(to *policy.Rules) {
	setIfGiven(&to.SlowStartMinCapacity, m.Rules.SlowStartMinCapacity)
	setIfGiven(&to.OverloadMultiple, m.Rules.OverloadMultiple)
	to.SlowStartWindow = m.Rules.SlowStartWindow.or(to.SlowStartWindow)
	to.OverloadDuration = m.Rules.OverloadDuration.or(to.OverloadDuration)
	to.AnswerGrace = m.Rules.AnswerGrace.or(to.AnswerGrace)
	to.MaxPollInterval = m.Rules.MaxPollInterval.or(to.MaxPollInterval)
}

// class converts the message to a policy.Class. path is the class's path in the settings, for error messages.
func (m *classMessage) class(path string) (policy.Class, error) {
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
	setIfGiven(&c.PriorityWeight, m.PriorityWeight)
	var ok bool
	if c.Idempotency, ok = idempotencies[m.Idempotency]; !ok {
		return c, fmt.Errorf("%s.Effect: unknown effect %q, want \"pure\", \"token\" or \"side_effect\", or leave the key out",
			path, m.Idempotency)
	}
	if c.DedupScope, ok = scopes[m.DedupScope]; !ok {
		return c, fmt.Errorf("%s.DedupScope: unknown scope %q, want \"all\", \"zone\" or \"cell\", or leave the key out",
			path, m.DedupScope)
	}
	return c, nil
}

// idempotencies maps the protocol's effects to the policy's idempotency. "" stands for an absent key.
var idempotencies = map[string]policy.Idempotency{
	"pure":        policy.Idempotent,
	"token":       policy.IdempotentByKey,
	"side_effect": policy.NotIdempotent,
	"":            policy.NotIdempotent,
}

// pollsByMode tells for each of the protocol's discovery modes whether the endpoint list has to be polled. "" stands for
// an absent key.
var pollsByMode = map[string]bool{"": false, "pushed": false, "on_request": true}

// scopes maps the protocol's deduplication scopes to the policy's. The narrowest scope is the default for an absent key,
// which "" stands for.
var scopes = map[string]policy.Scope{
	"all":  policy.ScopeAll,
	"zone": policy.ScopeZone,
	"cell": policy.ScopeCell,
	"":     policy.ScopeCell,
}
