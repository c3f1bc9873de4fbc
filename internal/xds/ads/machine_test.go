package ads

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// newIncremental returns a machine that subscribes to the endpoints x and y, and its first requests of a stream.
func newIncremental(t *testing.T, now time.Duration) (*Machine, []Request) {
	t.Helper()
	m := New(Options{Decode: decode, Variant: Incremental})
	if out, _ := m.Subscribe(0, Endpoint, []string{"x", "y"}); len(out) != 0 {
		t.Errorf("a request without a stream: %+v", out)
	}
	return m, m.StreamOpened(now, "p")
}

// receive has a machine receive a response that it must answer.
func receive(t *testing.T, m *Machine, r Response) (Update, []Request) {
	t.Helper()
	u, owed, err := m.Receive(&r)
	if err != nil {
		t.Fatal(err)
	}
	return u, owed
}

// TestMissingResources checks that a resource that does not come within 15 s of its request is reported missing, once.
func TestMissingResources(t *testing.T) {
	const second = time.Second
	m, first := newIncremental(t, 10*second)
	if len(first) != 1 || !slices.Equal(first[0].Subscribe, []string{"x", "y"}) || len(first[0].InitialVersions) != 0 {
		t.Errorf("first requests %+v", first)
	}
	u, _ := receive(t, m, Response{URL: Endpoint.URL(), Nonce: "1", Resources: []Resource{
		{Name: "x", Version: "7", Body: body(Endpoint, "x", "1")},
		{Name: "z", Body: body(Endpoint, "z", "1")},
	}})
	if len(u.Accepted) != 1 {
		t.Errorf("a resource without a subscription is accepted: %+v", u)
	}
	if at, ok := m.NextTick(); !ok || at != 25*second {
		t.Errorf("y is awaited until %v, %v", at, ok)
	}
	if u := m.Tick(25*second - 1); len(u) != 0 {
		t.Errorf("too early: %+v", u)
	}
	if u := m.Tick(25 * second); len(u) != 1 || !slices.Equal(u[0].Missing, []string{"y"}) {
		t.Errorf("after 15 s: %+v", u)
	}
	if u := m.Tick(99 * second); len(u) != 0 {
		t.Errorf("reported twice: %+v", u)
	}
	m.StreamClosed()
	again := m.StreamOpened(100*second, "p")
	if !maps.Equal(again[0].InitialVersions, map[string]string{"x": "7"}) {
		t.Errorf("first requests of the next stream: %+v", again)
	}
}

// TestUnusableResponsesChangeNothing checks responses that can't be answered.
func TestUnusableResponsesChangeNothing(t *testing.T) {
	m, _ := newIncremental(t, 0)
	for name, r := range map[string]Response{
		"no nonce":   {URL: Endpoint.URL()},
		"other type": {URL: Cluster.URL(), Nonce: "5"},
		"no type":    {URL: "what", Nonce: "6"},
	} {
		if u, owed, err := m.Receive(&r); err == nil || len(owed) > 0 || !u.Empty() {
			t.Errorf("%s: %+v, %+v", name, u, owed)
		}
	}
}

// TestNACKNamesEachFault checks that the NACK names each resource that is invalid by itself.
func TestNACKNamesEachFault(t *testing.T) {
	m, _ := newIncremental(t, 0)
	u, owed := receive(t, m, Response{URL: Endpoint.URL(), Nonce: "9", Resources: []Resource{
		{Name: "x", Version: "8", Body: body(Endpoint, "x", "2")},
		{Name: "x", Version: "8", Body: body(Endpoint, "x", "3")},
		{Name: "y", Body: body(Cluster, "y", "1")},
		{Name: "y", Body: body(Endpoint, "q", "1")},
		{Body: body(Endpoint, strings.Repeat("n", MaxNameBytes+1), "1")},
	}})
	for _, text := range []string{
		"x: stands there twice",
		"y: its type is",
		`y: the resource in it is named "q"`,
		"1 to 256 bytes",
	} {
		if !strings.Contains(owed[0].ErrorDetail, text) {
			t.Errorf("%q is not in %q", text, owed[0].ErrorDetail)
		}
	}
	if len(u.Accepted) != 1 || u.Accepted[0].Value != "2" {
		t.Errorf("accepted: %+v", u.Accepted)
	}
}

// TestLimits checks the limits of subscriptions, resources and the error detail.
func TestLimits(t *testing.T) {
	var names []string
	for i := range MaxResources + 5 {
		names = append(names, fmt.Sprintf("n-%05d", i))
	}
	incremental, _ := newIncremental(t, 0)
	if _, over := incremental.Subscribe(0, Endpoint, names); len(over) != 5 {
		t.Errorf("%d names over the limit", len(over))
	}
	o := Options{Decode: decode}
	o.Wildcard[Cluster] = true
	m := New(o)
	m.StreamOpened(0, "p")
	r := Response{URL: Cluster.URL(), Nonce: "1"}
	for _, name := range names {
		r.Resources = append(r.Resources, Resource{Body: body(Cluster, name, "1")})
	}
	u, owed, _ := m.Receive(&r)
	if len(u.Accepted) != MaxResources || !strings.Contains(owed[0].ErrorDetail, "there are 2000 already") ||
		len(owed[0].ErrorDetail) > maxErrorDetailBytes {
		t.Errorf("%d accepted; %q", len(u.Accepted), owed[0].ErrorDetail)
	}
}
