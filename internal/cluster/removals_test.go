package cluster

import (
	"strings"
	"testing"
)

func TestCheckRemovals(t *testing.T) {
	version := func(list ...*Config) *Version {
		v := &Version{Clusters: map[string]*Config{}}
		for _, c := range list {
			v.Clusters[c.Name] = c
		}
		return v
	}
	versionOf := func(list []Endpoint) *Version { return version(newConfig("x", list)) }
	ten := endpoints(10)
	drained := endpoints(10)
	for i := range 6 {
		drained[i].Health = Draining
	}
	shrunk := newConfig("x", ten[:2])
	shrunk.ShrinkTo = 2
	empty := newConfig("x", nil)
	empty.AllowEmpty = true
	one := newConfig("x", ten[:1])
	for name, c := range map[string]struct {
		old, new *Version
		want     string
	}{
		"first":              {nil, versionOf(nil), ""},
		"same":               {versionOf(ten), versionOf(ten), ""},
		"half":               {versionOf(ten), versionOf(ten[5:]), ""},
		"more than half":     {versionOf(ten), versionOf(ten[6:]), "6 of 10 serving endpoints would be removed or drained at once"},
		"more, meant":        {versionOf(ten), version(shrunk), ""},
		"all, meant":         {versionOf(ten), version(empty), ""},
		"drained":            {versionOf(ten), versionOf(drained), "6 of 10"},
		"drained ones go":    {versionOf(drained), versionOf(drained[6:]), ""},
		"cluster gone":       {versionOf(ten), version(), "to remove a cluster"},
		"empty cluster gone": {version(empty), version(), ""},
		"one of two":         {versionOf(ten[:2]), version(one), ""},
		"the last":           {version(one), versionOf(nil), "1 of 1"},
		"another grows":      {version(one), version(one, newConfig("y", ten)), ""},
		"all exchanged":      {versionOf(ten[:5]), versionOf(ten[5:]), "5 of 5"},
	} {
		t.Run(name, func(t *testing.T) {
			err := CheckRemovals(c.old, c.new, 0.5)
			switch {
			case c.want == "" && err != nil:
				t.Error(err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
				t.Errorf("got error %v, want one that contains %q", err, c.want)
			}
		})
	}
}

// While a cluster's file is removed to be created anew, no version without the cluster is accepted, also if all of a cluster's
// endpoints may be removed at once.
func TestClusterDoesNotVanish(t *testing.T) {
	c := newConfig("x", endpoints(2))
	before := &Version{Clusters: map[string]*Config{"x": c}}
	if err := CheckRemovals(before, &Version{}, 1); err == nil || !strings.Contains(err.Error(), "to remove a cluster") {
		t.Errorf("got error %v, want one that says how to remove a cluster", err)
	}
	c.AllowEmpty, c.Endpoints = true, nil
	if err := CheckRemovals(before, &Version{}, 1); err != nil {
		t.Errorf("a cluster that is empty on purpose can't be removed: %v", err)
	}
}
