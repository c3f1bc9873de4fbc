package ads

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machineTest is a machine, the model of its control plane, and the expected state of the machine.
type machineTest struct {
	machine  *Machine
	server   *serverModel
	kind     Type
	delta    bool
	wildcard bool
	open     bool // a stream has been opened
	now      time.Duration

	subscribed map[string]bool
	accepted   map[string]string // content by resource name, as the machine's updates report it
	lastValid  map[string]string // last valid content that the model sent, by resource name
}

// newMachineTest returns a test with a drawn variant and type, and for clusters a drawn choice of a wildcard.
func newMachineTest(t *rapid.T) *machineTest {
	c := &machineTest{
		delta:      rapid.Bool().Draw(t, "delta"),
		kind:       rapid.SampledFrom([]Type{Cluster, Endpoint}).Draw(t, "type"),
		subscribed: map[string]bool{},
		accepted:   map[string]string{},
		lastValid:  map[string]string{},
	}
	c.wildcard = c.kind == Cluster && rapid.Bool().Draw(t, "wildcard")
	o := Options{Decode: decode}
	if c.delta {
		o.Variant = Incremental
	}
	o.Wildcard[c.kind] = c.wildcard
	c.machine = New(o)
	c.server = &serverModel{delta: c.delta, content: map[string]string{}, version: map[string]int{}}
	return c
}

// apply applies an update that the machine returned to the accepted resources.
func (c *machineTest) apply(u *Update) {
	for _, resource := range u.Accepted {
		c.accepted[resource.Name] = resource.Value.(string)
	}
	for _, name := range u.Removed {
		delete(c.accepted, name)
	}
}

// deliver delivers the next response of the model and checks the answer. It reports false if no response is due.
func (c *machineTest) deliver(t *rapid.T) bool {
	r := c.server.nextResponse(c.kind)
	if r == nil {
		return false
	}
	invalid := c.recordValid(r)
	u, answers, err := c.machine.Receive(r)
	if err != nil || len(answers) != 1 || answers[0].Nonce != r.Nonce || answers[0].Type != c.kind {
		t.Fatalf("response %+v: got answers %+v, error %v; want one answer to the nonce", r, answers, err)
	}
	answer := answers[0]
	if (answer.ErrorDetail != "") != (invalid > 0) || strings.Count(answer.ErrorDetail, "is bad") != invalid {
		t.Fatalf("%d resources are invalid, got error detail %q", invalid, answer.ErrorDetail)
	}
	if !c.delta && invalid == 0 && answer.Version != r.Version {
		t.Fatalf("got ACK of version %q, want %q", answer.Version, r.Version)
	}
	c.apply(&u)
	if again, more, err := c.machine.Receive(r); err == nil || len(more) > 0 || !again.Empty() {
		t.Fatal("a response with an answered nonce was accepted again")
	}
	c.server.receive(answer)
	return true
}

// recordValid records the valid resources of a response and returns the number of invalid ones.
func (c *machineTest) recordValid(r *Response) (invalid int) {
	for _, resource := range r.Resources {
		name, content, _ := strings.Cut(string(resource.Body.Value), "=")
		if content == "bad" {
			invalid++
		} else {
			c.lastValid[name] = content
		}
	}
	return invalid
}

// toggleSubscription subscribes to a resource, or ends the subscription to it.
func (c *machineTest) toggleSubscription(t *rapid.T, name string) {
	if c.subscribed[name] {
		delete(c.subscribed, name)
	} else {
		c.subscribed[name] = true
	}
	requests, _ := c.machine.Subscribe(c.now, c.kind, slices.Sorted(maps.Keys(c.subscribed)))
	if !c.wildcard {
		unsubscribed := func(name, _ string) bool { return !c.subscribed[name] }
		maps.DeleteFunc(c.accepted, unsubscribed)
		maps.DeleteFunc(c.lastValid, unsubscribed)
	}
	for _, r := range requests {
		c.request(t, r)
	}
}

// request has the model receive a request. The model answers the first request of a type even if it has no resources.
func (c *machineTest) request(t *rapid.T, r Request) {
	s := c.server
	if s.subscribed == nil {
		t.Fatalf("got request %+v before a stream was opened, want none", r)
	}
	if !s.requested && len(s.subscribed) == 0 && !s.wildcard && len(s.sent) == 0 {
		s.requested = true
	}
	s.receive(r)
}

// openStream opens a stream to a control plane.
func (c *machineTest) openStream(controlPlane string) {
	c.server.open(c.kind, c.machine.StreamOpened(c.now, controlPlane))
	c.open = true
}

// step plays a drawn step.
func (c *machineTest) step(t *rapid.T, name string) {
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0, 1:
		c.server.put(name, rapid.SampledFrom([]string{"1", "2", "3", "bad"}).Draw(t, "content"))
	case 2:
		c.server.remove(name)
	case 3:
		c.toggleSubscription(t, name)
	case 4:
		c.machine.StreamClosed()
		c.openStream(rapid.SampledFrom([]string{"p", "p", "q"}).Draw(t, "control plane"))
	case 5, 6:
		if c.open {
			c.deliver(t)
		}
	}
}

// check checks the machine's state of a resource after all responses were delivered.
func (c *machineTest) check(t *rapid.T, name string) {
	content, exists := c.server.content[name]
	subscribed := c.wildcard || c.subscribed[name]
	got, present := c.accepted[name]
	switch {
	case !subscribed && present:
		t.Fatalf("%s is present, but not subscribed to", name)
	case subscribed && exists && content != "bad" && got != content:
		t.Fatalf("%s: got content %q, want %q as in the control plane", name, got, content)
	case subscribed && exists && content == "bad" && present && got != c.lastValid[name]:
		t.Fatalf("%s: got content %q, want the last valid content %q", name, got, c.lastValid[name])
	case subscribed && !exists && present && (c.delta || c.kind.listsAll()):
		t.Fatalf("%s is present, but the control plane has removed it", name)
	}
}

// TestFollowsTheControlPlane plays drawn changes of resources and subscriptions, broken streams and repeated responses.
// It checks that each response is answered once, by its nonce; that a NACK names the invalid resources and no others;
// and that in the end the client has the resources of the control plane, or the last valid form of invalid ones.
func TestFollowsTheControlPlane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newMachineTest(t)
		names := []string{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c.now += time.Millisecond
			c.step(t, rapid.SampledFrom(names).Draw(t, "name"))
		}
		c.server.put("last", "1") // changes that a broken stream has lost are sent with the next change
		if !c.open {
			c.openStream("p")
		}
		for c.deliver(t) {
		}
		for _, name := range append(names, "last") {
			c.check(t, name)
		}
	})
}
