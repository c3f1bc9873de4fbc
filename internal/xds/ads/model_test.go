package ads

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machineTest is a machine beside the model of its control plane, and what the machine should have.
type machineTest struct {
	machine  *Machine
	server   *serverModel
	kind     Type
	delta    bool
	wildcard bool
	open     bool // a stream has been opened
	now      time.Duration

	subscribed map[string]bool
	accepted   map[string]string // content by resource, by the machine's updates
	lastValid  map[string]string // the last valid content of each resource that was sent
}

// newMachineTest draws the variant, the type, and whether all resources of the type are subscribed to.
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

// apply applies an update of the machine's.
func (c *machineTest) apply(u *Update) {
	for _, resource := range u.Accepted {
		c.accepted[resource.Name] = resource.Value.(string)
	}
	for _, name := range u.Removed {
		delete(c.accepted, name)
	}
}

// deliver delivers the server's next response and checks the answer. It reports false if none is due.
func (c *machineTest) deliver(t *rapid.T) bool {
	r := c.server.nextResponse(c.kind)
	if r == nil {
		return false
	}
	invalid := c.recordValid(r)
	u, owed, err := c.machine.Receive(r)
	if err != nil || len(owed) != 1 || owed[0].Nonce != r.Nonce || owed[0].Type != c.kind {
		t.Fatalf("%+v: owed %+v, %v", r, owed, err)
	}
	answer := owed[0]
	if (answer.ErrorDetail != "") != (invalid > 0) || strings.Count(answer.ErrorDetail, "is bad") != invalid {
		t.Fatalf("%d invalid, the answer says %q", invalid, answer.ErrorDetail)
	}
	if !c.delta && invalid == 0 && answer.Version != r.Version {
		t.Fatalf("an ACK of version %q for %q", answer.Version, r.Version)
	}
	c.apply(&u)
	if again, more, err := c.machine.Receive(r); err == nil || len(more) > 0 || !again.Empty() {
		t.Fatal("a nonce that was answered is accepted again")
	}
	c.server.receive(answer)
	return true
}

// recordValid records the valid resources of a response and returns the number of the others.
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

// toggleSubscription subscribes to a resource, or ends the subscription.
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

// request has the server receive a request. To the first one for a type it responds even without resources.
func (c *machineTest) request(t *rapid.T, r Request) {
	s := c.server
	if s.subscribed == nil {
		t.Fatalf("a request without a stream: %+v", r)
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

// check checks what the machine has of a resource once everything was delivered.
func (c *machineTest) check(t *rapid.T, name string) {
	content, exists := c.server.content[name]
	subscribed := c.wildcard || c.subscribed[name]
	got, present := c.accepted[name]
	switch {
	case !subscribed && present:
		t.Fatalf("%s is present without a subscription", name)
	case subscribed && exists && content != "bad" && got != content:
		t.Fatalf("%s: has %q, the control plane %q", name, got, content)
	case subscribed && exists && content == "bad" && present && got != c.lastValid[name]:
		t.Fatalf("%s: has %q, its last valid form is %q", name, got, c.lastValid[name])
	case subscribed && !exists && present && (c.delta || c.kind.listsAll()):
		t.Fatalf("%s is present and was removed", name)
	}
}

// TestFollowsTheControlPlane checks that, whatever the control plane changes, breaks and repeats, and whatever is
// subscribed to, each response is answered once, by its nonce; that a NACK names the invalid resources and no others;
// and that in the end the client has the resources of the control plane, but for invalid ones, of which it has the
// last valid form.
func TestFollowsTheControlPlane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newMachineTest(t)
		names := []string{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c.now += time.Millisecond
			c.step(t, rapid.SampledFrom(names).Draw(t, "name"))
		}
		c.server.put("last", "1") // what a broken stream has lost shows with the next change
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
