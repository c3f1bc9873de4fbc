package ads

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// newIncremental returns a machine that subscribes to the endpoints x and y and has an open stream, and the first
// requests of the stream.
func newIncremental(t *testing.T, now time.Duration) (*Machine, []Request) {
	t.Helper()
	m := New(Options{Decode: decode, Variant: Incremental})
	if out, _ := m.Subscribe(0, Endpoint, []string{"x", "y"}); len(out) != 0 {
		t.Errorf("got requests %+v while no stream is open, want none", out)
	}
	return m, m.StreamOpened(now, "p")
}

// receive has a machine receive a response that it must answer.
func receive(t *testing.T, m *Machine, r Response) (Update, []Request) {
	t.Helper()
	u, answers, err := m.Receive(&r)
	if err != nil {
		t.Fatal(err)
	}
	return u, answers
}

// TestMissingResources checks that a resource that has not come within 15 s of its request is reported missing once.
func TestMissingResources(t *testing.T) {
	const second = time.Second
	m, first := newIncremental(t, 10*second)
	if len(first) != 1 || !slices.Equal(first[0].Subscribe, []string{"x", "y"}) || len(first[0].InitialVersions) != 0 {
		t.Errorf("got first requests %+v, want one that subscribes to x and y", first)
	}
	u, _ := receive(t, m, Response{URL: Endpoint.URL(), Nonce: "1", Resources: []Resource{
		{Name: "x", Version: "7", Body: body(Endpoint, "x", "1")},
		{Name: "z", Body: body(Endpoint, "z", "1")},
	}})
	if len(u.Accepted) != 1 {
		t.Errorf("got update %+v, want only x accepted, since z is not subscribed to", u)
	}
	if at, ok := m.NextTick(); !ok || at != 25*second {
		t.Errorf("got next tick at %v, %v; want 25s, the timeout of y", at, ok)
	}
	if u := m.Tick(25*second - 1); len(u) != 0 {
		t.Errorf("got updates %+v just before the timeout, want none", u)
	}
	if u := m.Tick(25 * second); len(u) != 1 || !slices.Equal(u[0].Missing, []string{"y"}) {
		t.Errorf("got updates %+v after 15 s, want y missing", u)
	}
	if u := m.Tick(99 * second); len(u) != 0 {
		t.Errorf("got updates %+v after the report of y, want none", u)
	}
	m.StreamClosed()
	again := m.StreamOpened(100*second, "p")
	if !maps.Equal(again[0].InitialVersions, map[string]string{"x": "7"}) {
		t.Errorf("got first requests %+v on the next stream, want the version 7 of x", again)
	}
}

// TestUnusableResponsesChangeNothing checks that responses with no nonce, or of a type that was not requested, give an
// error, no answer and no update.
func TestUnusableResponsesChangeNothing(t *testing.T) {
	m, _ := newIncremental(t, 0)
	for name, r := range map[string]Response{
		"no nonce":   {URL: Endpoint.URL()},
		"other type": {URL: Cluster.URL(), Nonce: "5"},
		"no type":    {URL: "what", Nonce: "6"},
	} {
		if u, answers, err := m.Receive(&r); err == nil || len(answers) > 0 || !u.Empty() {
			t.Errorf("%s: got update %+v, answers %+v; want an error and neither of them", name, u, answers)
		}
	}
}

// TestNACKNamesEachFault checks that the NACK names each invalid resource with the reason, and that a valid one in the
// same response is accepted.
func TestNACKNamesEachFault(t *testing.T) {
	m, _ := newIncremental(t, 0)
	u, answers := receive(t, m, Response{URL: Endpoint.URL(), Nonce: "9", Resources: []Resource{
		{Name: "x", Version: "8", Body: body(Endpoint, "x", "2")},
		{Name: "x", Version: "8", Body: body(Endpoint, "x", "3")},
		{Name: "y", Body: body(Cluster, "y", "1")},
		{Name: "y", Body: body(Endpoint, "q", "1")},
		{Body: body(Endpoint, strings.Repeat("n", MaxNameBytes+1), "1")},
	}})
	for _, text := range []string{
		"x: the response has more than one resource of this name",
		"y: the type URL is",
		`y: the resource itself has the name "q"`,
		"1 to 256 bytes",
	} {
		if !strings.Contains(answers[0].ErrorDetail, text) {
			t.Errorf("%q is not in the error detail %q", text, answers[0].ErrorDetail)
		}
	}
	if len(u.Accepted) != 1 || u.Accepted[0].Value != "2" {
		t.Errorf("got accepted resources %+v, want only x with the value 2", u.Accepted)
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
		t.Errorf("got %d names over the limit, want 5", len(over))
	}
	o := Options{Decode: decode}
	o.Wildcard[Cluster] = true
	m := New(o)
	m.StreamOpened(0, "p")
	r := Response{URL: Cluster.URL(), Nonce: "1"}
	for _, name := range names {
		r.Resources = append(r.Resources, Resource{Body: body(Cluster, name, "1")})
	}
	u, answers, _ := m.Receive(&r)
	if len(u.Accepted) != MaxResources ||
		!strings.Contains(answers[0].ErrorDetail, "the limit of 2000 resources of one type is reached") ||
		len(answers[0].ErrorDetail) > maxErrorDetailBytes {
		t.Errorf("got %d resources accepted and error detail %q, want MaxResources and a bounded text that names the limit",
			len(u.Accepted), answers[0].ErrorDetail)
	}
}
