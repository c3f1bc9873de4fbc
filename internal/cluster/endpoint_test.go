package cluster

import "testing"

func TestParseHealth(t *testing.T) {
	for h := Healthy; h <= Unhealthy; h++ {
		if got, err := ParseHealth(h.String()); got != h || err != nil {
			t.Errorf("ParseHealth(%q) returned %v, error %v", h, got, err)
		}
	}
	if _, err := ParseHealth("poorly"); err == nil {
		t.Error("ParseHealth returned no error for an unknown name")
	}
}

func TestKey(t *testing.T) {
	a := Endpoint{ID: "s", Address: "10.0.0.1:80"}
	b := a
	b.Weight = 3
	c := a
	c.Address = "10.0.0.2:80"
	if a.Key() != b.Key() || a.Key() == c.Key() {
		t.Errorf("got keys %x, %x for another weight and %x for another address, want a difference for the address only", a.Key(), b.Key(), c.Key())
	}
}
