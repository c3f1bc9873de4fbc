package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"yokestall/internal/cluster"
	"yokestall/policy"
)

// Class is the settings of a request class. Its index in Program.Classes is its index in the policy.
type Class struct {
	Name string
	policy.Class
	// Progress is how long an endpoint may send nothing in a streamed response or an upgraded connection; 0: the default.
	Progress time.Duration
	// Stream is the maximum duration of a streamed response or an upgraded connection; 0: unlimited.
	Stream time.Duration
	// Drain is how long a streamed response or an upgraded connection may last once its endpoint is draining; 0: unlimited.
	Drain time.Duration
}

// classFile is the tables [[class]] and [[tenant]] as decoded from the program's file, or from a control plane's JSON.
type classFile struct {
	tenantTables
	Class []struct {
		Name      string   `toml:"name" json:"name"`
		Effect    string   `toml:"effect" json:"effect"`
		Scope     string   `toml:"scope" json:"scope"`
		Window    Duration `toml:"window" json:"window"`
		Deadline  Duration `toml:"deadline" json:"deadline"`
		Aim       Duration `toml:"aim" json:"aim"`
		Worth     float64  `toml:"worth" json:"worth"`
		LateWorth float64  `toml:"late_worth" json:"late_worth"`
		Progress  Duration `toml:"progress" json:"progress"`
		Stream    Duration `toml:"stream" json:"stream"`
		Drain     Duration `toml:"stream_drain" json:"stream_drain"`
	} `toml:"class" json:"classes"`
}

// Tenant is the settings of a tenant: a client organization with a quota.
type Tenant struct {
	Name         string
	Certificates []string // names in client certificates that identify the tenant
	policy.Tenant
}

// tenantTables is the tables [[tenant]] as decoded from a file, or from a control plane's JSON.
type tenantTables struct {
	Tenant []struct {
		Name      string  `toml:"name" json:"name"`
		QuotaPerS float64 `toml:"quota_per_s" json:"quota_per_s"`
		// Certificates are names in client certificates that identify the tenant.
		Certificates []string `toml:"certificates" json:"certificates"`
	} `toml:"tenant" json:"tenants"`
}

// ParseClasses parses the classes and tenants of a control plane's resource, which is JSON of the form {"classes": [...],
// "tenants": [...]} with the keys of the program's own file. Either list may be missing. The error joins up to maxProblems
// problems.
func ParseClasses(text []byte) ([]Class, []Tenant, error) {
	var f classFile
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, nil, err
	}
	var p Program
	var found []error
	report := func(table string, index int, key, format string, args ...any) {
		if len(found) < maxProblems {
			found = append(found, fmt.Errorf("%s %d: %s: %s", table, index+1, key, fmt.Sprintf(format, args...)))
		}
	}
	if len(f.Class) > 0 {
		p.readClasses(&f, report)
	}
	p.readTenants(&f.tenantTables, report)
	return p.Classes, p.Tenants, errors.Join(found...)
}

// The values that the keys effect and scope may have.
var (
	idempotencyByEffect = map[string]policy.Idempotency{
		"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NotIdempotent,
	}
	scopeByName = map[string]policy.Scope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}
)

// readClasses checks the classes and sets p.Classes.
func (p *Program) readClasses(f *classFile, report reporter) {
	if n := len(f.Class); n == 0 || n > MaxClasses {
		report("class", -1, "", "%d classes are defined; the number must be from 1 to %d", n, MaxClasses)
	}
	seen := map[string]bool{}
	for i, c := range f.Class {
		k := Class{Name: c.Name, Class: policy.Class{
			Deadline: c.Deadline.Duration, LatencyObjective: c.Aim.Duration, PriorityWeight: c.Worth, LateWeight: c.LateWorth,
			DedupWindow: c.Window.Duration,
		}, Progress: c.Progress.Duration, Stream: c.Stream.Duration, Drain: c.Drain.Duration}
		var ok bool
		if k.Idempotency, ok = idempotencyByEffect[c.Effect]; !ok {
			report("class", i, "effect", "%q is not one of safe, keyed, unsafe", c.Effect)
		}
		if k.DedupScope, ok = scopeByName[c.Scope]; !ok && c.Scope != "" {
			report("class", i, "scope", "%q is not one of all, zone, cell", c.Scope)
		}
		if k.PriorityWeight == 0 {
			k.PriorityWeight = 1
		}
		switch {
		case c.Name == "" || len(c.Name) > cluster.MaxNameBytes:
			report("class", i, "name", "length is not from 1 to %d bytes", cluster.MaxNameBytes)
		case seen[c.Name]:
			report("class", i, "name", "%s is the name of another class", c.Name)
		}
		seen[c.Name] = true
		if k.Deadline < time.Millisecond*20 || k.Deadline > time.Hour {
			report("class", i, "deadline", "%v is not from 20ms to 1h", k.Deadline)
		}
		if k.LatencyObjective < 0 || k.LatencyObjective > k.Deadline {
			report("class", i, "aim", "%v is not from 0 to the deadline", k.LatencyObjective)
		}
		if math.IsNaN(k.PriorityWeight) || k.PriorityWeight < 0 || k.PriorityWeight > 1e6 {
			report("class", i, "worth", "%v is not from 0 to 1000000", k.PriorityWeight)
		}
		if math.IsNaN(k.LateWeight) || k.LateWeight < 0 || k.LateWeight > 1 {
			report("class", i, "late_worth", "%v is not from 0 to 1", k.LateWeight)
		}
		if k.DedupWindow < 0 || k.DedupWindow > 24*time.Hour {
			report("class", i, "window", "%v is not from 0 to 24h", k.DedupWindow)
		}
		for key, d := range map[string]time.Duration{"progress": k.Progress, "stream": k.Stream, "stream_drain": k.Drain} {
			if d != 0 && (d < 10*time.Millisecond || d > 30*24*time.Hour) {
				report("class", i, key, "%v is neither 0 nor from 10ms to 720h", d)
			}
		}
		if k.Idempotency == policy.IdempotentByKey && (k.DedupWindow == 0 || c.Scope == "") {
			report("class", i, "", "a keyed class needs a window and a scope")
		}
		p.Classes = append(p.Classes, k)
	}
}

// readTenants checks the tenants and sets p.Tenants.
func (p *Program) readTenants(f *tenantTables, report reporter) {
	if n := len(f.Tenant); n > MaxTenants {
		report("tenant", -1, "", "%d tenants are defined; the limit is %d", n, MaxTenants)
		return
	}
	if len(f.Tenant) == 0 {
		return
	}
	p.Tenants = make([]Tenant, 0, len(f.Tenant))
	seen, certificateNames := make(map[string]bool, len(f.Tenant)), map[string]bool{}
	for i, t := range f.Tenant {
		switch {
		case t.Name == "" || len(t.Name) > cluster.MaxNameBytes:
			report("tenant", i, "name", "length is not from 1 to %d bytes", cluster.MaxNameBytes)
		case seen[t.Name]:
			report("tenant", i, "name", "%s is another one's too", t.Name)
		}
		seen[t.Name] = true
		if math.IsNaN(t.QuotaPerS) || t.QuotaPerS < 0 || t.QuotaPerS > 1e9 {
			report("tenant", i, "quota_per_s", "%v is not from 0 to 1e9", t.QuotaPerS)
		}
		for _, name := range t.Certificates {
			if name == "" || certificateNames[name] {
				report("tenant", i, "certificates", "%q is empty or already identifies a tenant", name)
			}
			certificateNames[name] = true
		}
		p.Tenants = append(p.Tenants, Tenant{t.Name, t.Certificates, policy.Tenant{QuotaPerSecond: t.QuotaPerS}})
	}
}
