package simulator

import (
	"strings"
	"testing"
	"time"

	"yokestall/policy"
)

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(`{"Balancers": 2, "Locality": 1, "CountedBy": "work",
		"RegistryMode": "on_request",
		"Accounts": [{"Name": "a", "QuotaPerS": 84.0}], "OverShareWorth": 0.05,
		"Novel": {"x": []},
		"Classes": [{"DeadlineMs": 1400.0, "DedupScope": "zone", "Effect": "token", "Importance": 2,
			"KeyTtlMs": 5000,
			"LateWorth": 0.5, "PromiseMs": 580, "Streaming": true, "AimStretch": 4}, {"DeadlineMs": 100}],
		"Contract": {"ColdFrom": 0.32, "ColdMs": 8800, "FallMs": 1000,
			"FallMultiple": 3, "MustAskInMs": 9000},
		"Limits": {"Cancel": true, "MaxAttempts": 4, "MaxRetryAfterMs": 600,
			"RetryAfter": true, "SecondCopies": true}}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if s.NodeCount != 2 || s.Zone != 1 || !s.WeightPerWork || !s.PollEndpoints ||
		s.OverQuotaWeight != 0.05 ||
		s.Tenants[0].QuotaPerSecond != 84 || c.Idempotency != policy.IdempotentByKey || c.DedupScope != policy.ScopeZone ||
		c.DedupWindow != 5*time.Second || c.LatencyObjective != 580*time.Millisecond || c.LateWeight != 0.5 ||
		!c.Stream || c.ObjectiveWorkFactor != 4 ||
		s.Limits != (policy.Limits{
			MaxAttempts: 4, AllowHedging: true, AllowCancel: true, MaxRetryAfter: 600 * time.Millisecond}) ||
		s.Rules.OverloadMultiple != 3 || s.Rules.SlowStartWindow != 8800*time.Millisecond ||
		s.Rules.MaxPollInterval != 9*time.Second {
		t.Errorf("got settings %+v, which differ from the JSON", s)
	}
	if d := s.Classes[1]; d.Idempotency != policy.NotIdempotent || d.DedupScope != policy.ScopeCell ||
		d.LatencyObjective != d.Deadline || d.PriorityWeight != 1 {
		t.Errorf("got class %+v, want the defaults for the absent keys", d)
	}
}

func TestParseSettingsNamesTheField(t *testing.T) {
	for text, field := range map[string]string{
		`{`:                                     "settings",
		`{"Classes": [{"Effect": "perhaps"}]}`:  "Classes[0].Effect",
		`{"Classes": [{"DedupScope": "moon"}]}`: "Classes[0].DedupScope",
		`{"RegistryMode": "sung"}`:              "RegistryMode",
		`{"Limits": {"MaxAttempts": "many"}}`:   "MaxAttempts",
		`{"Contract": {"ColdMs": 1e300}}`:       "time 1e+300",
	} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("settings %s: got error %v, want one that names %s", text, err, field)
		}
	}
}

// The error for a setting of the wrong type or with an unknown value must tell which setting it is.
func TestMistypedSettingsNameTheField(t *testing.T) {
	for field, text := range map[string]string{
		"Balancers":     `{"Balancers": "two"}`,
		"DeadlineMs":    `{"Classes": [{"DeadlineMs": "soon"}]}`,
		"Effect":        `{"Classes": [{"Effect": "odd"}]}`,
		"ColdMs":        `{"Contract": {"ColdMs": []}}`,
		"RegistryMode":  `{"RegistryMode": "guess"}`,
		"QuotaPerS":     `{"Accounts": [{"QuotaPerS": "all"}]}`,
		"FallMultiple":  `{"Contract": {"FallMultiple": {}}}`,
		"SecondCopies":  `{"Limits": {"SecondCopies": 1}}`,
		"TickMs":        `{"TickMs": "fast"}`,
		"GraceToAnswer": `{"Contract": {"GraceToAnswerMs": true}}`,
	} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("wrong value of %s: got error %v, want one that names the key", field, err)
		}
	}
}
