package policy

import (
	"fmt"
	"math"
	"time"
)

// Idempotency determines whether a request may be repeated (RFC 9110, section 9.2.2).
type Idempotency uint8

// The kinds of idempotency, from the laxest to the strictest. Package consensus relies on the order.
const (
	Idempotent      Idempotency = iota // the request may be repeated freely
	IdempotentByKey                    // repeats are dropped inside Class.DedupScope for Class.DedupWindow
	NotIdempotent                      // the request must never run twice
)

// Scope is the group of endpoints that drops repeats of a request with an idempotency key.
type Scope uint8

// The deduplication scopes, from the laxest to the strictest: the narrower the scope, the fewer endpoints may
// get a retry. Package consensus relies on the order.
const (
	ScopeAll  Scope = iota // all endpoints
	ScopeZone              // the endpoints of one zone
	ScopeCell              // the endpoints of one cell
)

// Class is a class of requests.
type Class struct {
	Deadline            time.Duration // time from the arrival for all attempts; above 0
	LatencyObjective    time.Duration // an answer within this time has the full weight; 0 means Deadline
	ObjectiveWorkFactor float64       // multiple of Request.WorkHint that is added to LatencyObjective
	LateWeight          float64       // share of the weight that an answer after the objective has, 0 to 1
	PriorityWeight      float64       // weight of one request, or of one second of work (WeightPerWork)
	Idempotency         Idempotency
	DedupScope          Scope         // endpoints that drop repeats, with IdempotentByKey
	DedupWindow         time.Duration // time after the first send for which repeats are dropped
	Stream              bool          // the answer is a stream; ignored by the policy, see StreamStarted
}

// Tenant is a client or group of clients with a common quota.
type Tenant struct {
	QuotaPerSecond float64 // requests per second over all nodes; 0 means no limit
}

// Limits are the operator's limits on attempts and answers.
type Limits struct {
	MaxAttempts   int           // maximum number of attempts for one request, at least 1
	AllowHedging  bool          // whether two attempts of a request may be in flight together
	AllowCancel   bool          // whether Host.Cancel may be used
	MaxRetryAfter time.Duration // the longest Retry-After that clients respect; 0 means that none is given
}

// Rules are the parameters of slow start, polling and final answers.
type Rules struct {
	SlowStartMinCapacity float64       // lowest capacity at the start as a share of the warm one, 0 to 1
	SlowStartWindow      time.Duration // age from which an endpoint is warm
	OverloadMultiple     float64       // multiple of its capacity that overloads a warming endpoint
	// OverloadDuration is the time after which work sent at OverloadMultiple times the capacity overloads a
	// warming endpoint.
	OverloadDuration time.Duration
	MaxPollInterval  time.Duration // the longest time between two polls, with PollEndpoints
	AnswerGrace      time.Duration // time after the deadline in which a final answer still counts
}

// Costs are the costs of events. Each is the share of the total weight of all requests that would be lost if
// the event occurred once for each request.
type Costs struct {
	NewConnection float64 // cost of a new connection to an endpoint
	WastedWork    float64 // cost of a request's work whose answer is not used
}

// Settings configure a Balancer. They do not change while it runs.
type Settings struct {
	NodeCount       int // number of nodes that share the endpoints, including this one; at least 1
	NodeIndex       int // index of this node among them, from 0
	Zone            int // zone of this node
	Classes         []Class
	Tenants         []Tenant
	Quotas          *Quotas       // shared by the Balancers of a node; nil means new Quotas for Tenants
	OverQuotaWeight float64       // multiplies the weight of a request beyond its tenant's quota
	WeightPerWork   bool          // whether PriorityWeight is per second of work instead of per request
	PollEndpoints   bool          // whether the endpoint list must be polled; otherwise it is pushed
	Tick            time.Duration // the longest time between an event and its delivery
	Limits          Limits
	Rules           Rules
	Costs           Costs
}

// DefaultSettings returns the default settings: one attempt, no hedging, no cancelling, and the most cautious
// parameters of slow start. They have no classes, so they do not pass Check.
func DefaultSettings() Settings {
	return Settings{
		NodeCount:       1,
		OverQuotaWeight: 1,
		Tick:            10 * time.Millisecond,
		Limits:          Limits{MaxAttempts: 1},
		Rules: Rules{
			SlowStartMinCapacity: 0.1, SlowStartWindow: 30 * time.Second,
			OverloadMultiple: 2, OverloadDuration: time.Second,
			MaxPollInterval: 10 * time.Second,
		},
	}
}

// SettingError reports a setting with an invalid value.
type SettingError struct {
	Field string // path of the field within Settings
	Value any
}

// Error returns a message that names the field and its value.
func (e *SettingError) Error() string {
	return fmt.Sprintf("policy: setting %s is impossible: %v", e.Field, e.Value)
}

// fieldCheck is the result of checking one field.
type fieldCheck struct {
	field string
	value any
	valid bool
}

// firstInvalid returns a *SettingError for the first field that is not valid.
func firstInvalid(checks []fieldCheck) error {
	for _, c := range checks {
		if !c.valid {
			return &SettingError{Field: c.field, Value: c.value}
		}
	}
	return nil
}

// Check returns a *SettingError for the first invalid field. Tenants are checked by NewQuotas.
func (s *Settings) Check() error {
	limits, rules, costs := &s.Limits, &s.Rules, &s.Costs
	err := firstInvalid([]fieldCheck{
		{"NodeCount", s.NodeCount, s.NodeCount >= 1},
		{"NodeIndex", s.NodeIndex, s.NodeIndex >= 0},
		{"Zone", s.Zone, s.Zone >= 0},
		{"Classes", "none given", len(s.Classes) > 0},
		{"OverQuotaWeight", s.OverQuotaWeight, finiteNonNegative(s.OverQuotaWeight)},
		{"Limits.MaxAttempts", limits.MaxAttempts, limits.MaxAttempts >= 1},
		{"Limits.MaxRetryAfter", limits.MaxRetryAfter, limits.MaxRetryAfter >= 0},
		{"Rules.SlowStartMinCapacity", rules.SlowStartMinCapacity, isShare(rules.SlowStartMinCapacity)},
		{"Rules.SlowStartWindow", rules.SlowStartWindow, rules.SlowStartWindow >= 0},
		{"Rules.OverloadMultiple", rules.OverloadMultiple, finiteNonNegative(rules.OverloadMultiple)},
		{"Rules.OverloadDuration", rules.OverloadDuration, rules.OverloadDuration >= 0},
		{"Costs.NewConnection", costs.NewConnection, finiteNonNegative(costs.NewConnection)},
		{"Costs.WastedWork", costs.WastedWork, finiteNonNegative(costs.WastedWork)},
		{"Tick", s.Tick, s.Tick >= 0},
		{"Rules.AnswerGrace", rules.AnswerGrace, rules.AnswerGrace >= 0},
		{"Rules.MaxPollInterval", rules.MaxPollInterval, rules.MaxPollInterval >= 0},
	})
	if err != nil {
		return err
	}
	for i := range s.Classes {
		if err := s.Classes[i].check(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return err
		}
	}
	return nil
}

// check returns a *SettingError for the first invalid field. path is the prefix of the field names in the
// error.
func (c *Class) check(path string) error {
	return firstInvalid([]fieldCheck{
		{path + "Deadline", c.Deadline, c.Deadline > 0},
		{path + "LatencyObjective", c.LatencyObjective, c.LatencyObjective >= 0},
		{path + "ObjectiveWorkFactor", c.ObjectiveWorkFactor, finiteNonNegative(c.ObjectiveWorkFactor)},
		{path + "LateWeight", c.LateWeight, isShare(c.LateWeight)},
		{path + "PriorityWeight", c.PriorityWeight, finiteNonNegative(c.PriorityWeight)},
		{path + "Idempotency", c.Idempotency, c.Idempotency <= NotIdempotent},
		{path + "DedupScope", c.DedupScope, c.DedupScope <= ScopeCell},
		{path + "DedupWindow", c.DedupWindow, c.DedupWindow >= 0},
	})
}

// finiteNonNegative reports whether v is finite and at least 0. It returns false for NaN.
func finiteNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// isShare reports whether v is in the range from 0 to 1. It returns false for NaN.
func isShare(v float64) bool { return v >= 0 && v <= 1 }
