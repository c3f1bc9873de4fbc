package node

import (
	"strings"
	"testing"
	"time"

	"yokestall/policy"
)

// The drain grace comes from the settings, and is defaultDrainGrace if they have none. An invalid drain grace is an error and
// is not replaced by the default.
func TestGraceOfTheSettings(t *testing.T) {
	t.Parallel()
	parse := func(contract string) (*Config, error) {
		settings := strings.Replace(settingsText, `"RegistryMode"`, contract+`"RegistryMode"`, 1)
		return parseConfig([]byte(`{"name": "n", "settings": ` + settings + `}`))
	}
	for contract, want := range map[string]time.Duration{
		"":                                    defaultDrainGrace,
		`"Contract": {"DrainGraceMs": 250},`:  250 * time.Millisecond,
		`"Contract": {"DrainGraceMs": 0},`:    0,
		`"Contract": {"DrainGraceMs": null},`: defaultDrainGrace,
	} {
		if c, err := parse(contract); err != nil || c.DrainGrace != want {
			t.Errorf("%s: got configuration %v, error %v, want the stated or default drain grace", contract, c, err)
		}
	}
	for _, contract := range []string{
		`"Contract": {"DrainGraceMs": -1},`, `"Contract": {"DrainGraceMs": 1e300},`, `"Contract": {"DrainGraceMs": "500"},`,
	} {
		if _, err := parse(contract); err == nil || !strings.Contains(err.Error(), "DrainGraceMs") {
			t.Errorf("%s: got error %v, want an error that names DrainGraceMs", contract, err)
		}
	}
}

// Invalid settings are an error that names the setting, and are not replaced by defaults.
func TestSettingsThatMakeNoSense(t *testing.T) {
	t.Parallel()
	for name, change := range map[string][2]string{
		"Classes[1].Name":         {`"Name": "push"`, `"Name": "read"`},
		"Classes[0].Name":         {`"Name": "read"`, `"Name": ""`},
		"Classes[2].Name":         {`"Name": "pay"`, `"Name": "pay/now"`},
		"Accounts[1].Name":        {`{"Name": "acme", "QuotaPerS": 1000}`, `{"Name": "acme"}, {"Name": "acme"}`},
		"Limits.ConnIdleMs":       {`"ConnIdleMs": 15000`, `"ConnIdleMs": -1`},
		"Limits.ConnectTimeoutMs": {`"ConnectTimeoutMs": 2000`, `"ConnectTimeoutMs": 1e12`},
		"ConnectTimeoutMs":        {`"ConnectTimeoutMs": 2000`, `"ConnectTimeoutMs": "soon"`},
		"RegistryMode":            {`"pushed"`, `"shouted"`},
		"Effect":                  {`"side_effect"`, `"sometimes"`},
		"DedupScope":              {`"all"`, `"most"`},
		"Classes[2].Deadline":     {`"side_effect", "DeadlineMs": 8000`, `"side_effect", "DeadlineMs": 0`},
		"Classes[1].DedupWindow":  {`"KeyTtlMs": 20000`, `"KeyTtlMs": -5`},
		"Limits.MaxAttempts":      {`"MaxAttempts": 3`, `"MaxAttempts": 0`},
		"Tenants[0].QuotaPerS":    {`"QuotaPerS": 1000`, `"QuotaPerS": -1`},
		"time 1e+300 is too long": {`"TickMs": 5`, `"TickMs": 1e300`},
		"Classes is impossible":   {settingsText, `{"RegistryMode": "pushed"}`},
		"cannot unmarshal":        {settingsText, `[1, 2]`},
		"invalid character":       {settingsText, `{"Classes": [`},
	} {
		text := strings.Replace(settingsText, change[0], change[1], 1)
		if text == settingsText {
			t.Errorf("%s: the text to replace is not in the settings", name)
		}
		c, err := parseConfig([]byte(`{"name": "n", "limits": {"sockets": 256}, "settings": ` + text + `}`))
		if err == nil {
			_, err = policy.New(c.Policy, 1, nil)
		}
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got error %v, want an error that contains this name", name, err)
		}
	}
}
