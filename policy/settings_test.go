package policy

import (
	"errors"
	"strings"
	"testing"
)

func TestSettingsThatAreImpossible(t *testing.T) {
	nan := 0.0
	nan /= nan
	for _, tc := range []struct {
		field  string
		change func(*Settings)
	}{
		{"NodeCount", func(s *Settings) { s.NodeCount = 0 }},
		{"NodeIndex", func(s *Settings) { s.NodeIndex = -1 }},
		{"Zone", func(s *Settings) { s.Zone = -1 }},
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[1].Deadline", func(s *Settings) { s.Classes[1].Deadline = 0 }},
		{"Classes[0].LatencyObjective", func(s *Settings) { s.Classes[0].LatencyObjective = -1 }},
		{"Classes[0].ObjectiveWorkFactor", func(s *Settings) { s.Classes[0].ObjectiveWorkFactor = nan }},
		{"Classes[0].LateWeight", func(s *Settings) { s.Classes[0].LateWeight = 1.5 }},
		{"Classes[0].PriorityWeight", func(s *Settings) { s.Classes[0].PriorityWeight = nan }},
		{"Classes[0].Idempotency", func(s *Settings) { s.Classes[0].Idempotency = 9 }},
		{"Classes[0].DedupScope", func(s *Settings) { s.Classes[0].DedupScope = 9 }},
		{"Classes[0].DedupWindow", func(s *Settings) { s.Classes[0].DedupWindow = -1 }},
		{"Tenants[0].QuotaPerS", func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSecond: -1}} }},
		{"OverQuotaWeight", func(s *Settings) { s.OverQuotaWeight = nan }},
		{"Limits.MaxAttempts", func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		{"Limits.MaxRetryAfter", func(s *Settings) { s.Limits.MaxRetryAfter = -1 }},
		{"Rules.SlowStartMinCapacity", func(s *Settings) { s.Rules.SlowStartMinCapacity = 2 }},
		{"Rules.SlowStartWindow", func(s *Settings) { s.Rules.SlowStartWindow = -1 }},
		{"Rules.OverloadMultiple", func(s *Settings) { s.Rules.OverloadMultiple = nan }},
		{"Rules.OverloadDuration", func(s *Settings) { s.Rules.OverloadDuration = -1 }},
		{"Rules.MaxPollInterval", func(s *Settings) { s.Rules.MaxPollInterval = -1 }},
		{"Rules.AnswerGrace", func(s *Settings) { s.Rules.AnswerGrace = -1 }},
		{"Costs.NewConnection", func(s *Settings) { s.Costs.NewConnection = nan }},
		{"Costs.WastedWork", func(s *Settings) { s.Costs.WastedWork = -1 }},
		{"Tick", func(s *Settings) { s.Tick = -1 }},
	} {
		set := testSettings()
		tc.change(&set)
		_, err := New(set, 1, newFakeHost())
		if err == nil || !strings.Contains(err.Error(), "setting "+tc.field+" ") {
			t.Errorf("%s: error %v does not name the field", tc.field, err)
		}
		if setting := new(SettingError); !errors.As(err, &setting) || setting.Field != tc.field {
			t.Errorf("%s: error %v is not a *SettingError for the field", tc.field, err)
		}
	}
}
