package ads

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/anypb"
	"pgregory.net/rapid"
)

// In these tests a resource's body is "name=content"; content "bad" is rejected.
func decode(_ Type, body *anypb.Any) (string, any, error) {
	name, content, ok := strings.Cut(string(body.Value), "=")
	if !ok {
		return "", nil, errors.New("is no resource")
	}
	if content == "bad" {
		return name, nil, errors.New("is bad")
	}
	return name, content, nil
}

func body(t Type, name, content string) *anypb.Any {
	return &anypb.Any{TypeUrl: t.URL(), Value: []byte(name + "=" + content)}
}

// server is a model of a control plane for one stream: it sends what differs.
type server struct {
	delta   bool
	content map[string]string // by name, of one type
	version map[string]int
	last    int
	nonce   int

	watched map[string]bool
	all     bool
	sent    map[string]int
	fresh   bool // the client asked for something new
}

func (s *server) put(name, content string) {
	s.last++
	s.content[name], s.version[name] = content, s.last
}

func (s *server) remove(name string) {
	s.last++
	delete(s.content, name)
	delete(s.version, name)
}

// open starts a stream by its first requests.
func (s *server) open(t Type, list []Request) {
	s.watched, s.sent, s.all, s.fresh = map[string]bool{}, map[string]int{}, false, false
	for _, r := range list {
		if r.Type != t {
			continue
		}
		s.all = s.delta && slices.Contains(r.Subscribe, "*") || !s.delta && len(r.Names) == 0
		s.fresh = true
		for name, v := range r.InitialVersions {
			s.sent[name], _ = strconv.Atoi(v)
		}
		if !s.delta && r.Version == fmt.Sprint(s.last) { // it has all of this version
			s.fresh = false
			maps.Copy(s.sent, s.version)
		}
		s.take(r)
	}
}

func (s *server) take(r Request) {
	if s.delta {
		for _, n := range r.Subscribe {
			s.watched[n] = true
		}
		for _, n := range r.Unsubscribe {
			delete(s.watched, n)
			delete(s.sent, n)
		}
		return
	}
	if s.all {
		return
	}
	s.watched = map[string]bool{}
	for _, n := range r.Names {
		s.watched[n] = true
	}
	for n := range s.sent {
		if !s.watched[n] {
			delete(s.sent, n)
		}
	}
}

// due makes the response that is due; nil if none is.
func (s *server) due(t Type) *Response {
	r := &Response{URL: t.URL()}
	changed := s.fresh && !s.delta && t.listsAll()
	for _, name := range slices.Sorted(maps.Keys(s.content)) {
		wanted := s.all || s.watched[name]
		if wanted && s.sent[name] != s.version[name] {
			changed = true
		} else if s.delta || !t.listsAll() || !wanted {
			continue
		}
		res := Resource{Body: body(t, name, s.content[name])}
		if s.delta {
			res.Name, res.Version = name, fmt.Sprint(s.version[name])
		}
		r.Resources = append(r.Resources, res)
	}
	for name := range s.sent {
		if _, there := s.content[name]; !there {
			r.Removed = append(r.Removed, name)
			changed = changed || s.delta || t.listsAll()
		}
	}
	if !changed {
		return nil
	}
	s.nonce++
	s.fresh = false
	r.Nonce, r.Version = fmt.Sprint("n", s.nonce), fmt.Sprint(s.last)
	for _, name := range r.Removed {
		delete(s.sent, name)
	}
	if !s.delta {
		r.Removed = nil
	}
	for name, v := range s.version {
		if s.all || s.watched[name] {
			s.sent[name] = v
		}
	}
	return r
}

// Whatever the control plane changes, breaks and repeats, and whatever is subscribed to: each response is answered
// once, by its nonce; a NACK names the invalid resources and no others; and in the end the client has the resources of
// the control plane, but for invalid ones, of which it has the last valid form.
func TestFollowsTheControlPlane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delta := rapid.Bool().Draw(t, "delta")
		kind := rapid.SampledFrom([]Type{Cluster, Endpoint}).Draw(t, "type")
		all := kind == Cluster && rapid.Bool().Draw(t, "all")
		o := Options{Decode: decode}
		if delta {
			o.Variant = Incremental
		}
		o.Wildcard[kind] = all
		m := New(o)
		s := &server{delta: delta, content: map[string]string{}, version: map[string]int{}}
		holds := map[string]string{}
		want, good := map[string]bool{}, map[string]string{} // good: the last good form since it is wanted and there
		now := time.Duration(0)
		names := []string{"a", "b", "c", "d"}
		apply := func(u *Update) {
			for _, x := range u.Accepted {
				holds[x.Name] = x.Value.(string)
			}
			for _, n := range u.Removed {
				delete(holds, n)
			}
		}
		deliver := func() bool {
			r := s.due(kind)
			if r == nil {
				return false
			}
			bad := 0
			for _, res := range r.Resources {
				name, content, _ := strings.Cut(string(res.Body.Value), "=")
				if content == "bad" {
					bad++
				} else {
					good[name] = content
				}
			}
			u, owed, err := m.Receive(r)
			if err != nil || len(owed) != 1 || owed[0].Nonce != r.Nonce || owed[0].Type != kind {
				t.Fatalf("%+v: owed %+v, %v", r, owed, err)
			}
			if (owed[0].ErrorDetail != "") != (bad > 0) || strings.Count(owed[0].ErrorDetail, "is bad") != bad {
				t.Fatalf("%d bad, the answer says %q", bad, owed[0].ErrorDetail)
			}
			if !delta && bad == 0 && owed[0].Version != r.Version {
				t.Fatalf("an ACK of version %q for %q", owed[0].Version, r.Version)
			}
			apply(&u)
			if again, more, err := m.Receive(r); err == nil || len(more) > 0 || !again.Empty() {
				t.Fatal("a nonce that was answered is taken again")
			}
			s.take(owed[0])
			return true
		}
		subscribe := func() {
			list := slices.Sorted(maps.Keys(want))
			out, _ := m.Subscribe(now, kind, list)
			for n := range holds {
				if !all && !want[n] {
					delete(holds, n)
				}
			}
			for n := range good {
				if !all && !want[n] {
					delete(good, n)
				}
			}
			for _, r := range out {
				if s.watched == nil {
					t.Fatalf("a request with no stream: %+v", r)
				}
				if !s.fresh && len(s.watched) == 0 && !s.all && len(s.sent) == 0 {
					s.fresh = true
				}
				s.take(r)
			}
		}
		open := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Millisecond
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				s.put(name, rapid.SampledFrom([]string{"1", "2", "3", "bad"}).Draw(t, "content"))
			case 2:
				s.remove(name)
			case 3:
				if want[name] = !want[name]; !want[name] {
					delete(want, name)
				}
				subscribe()
			case 4:
				m.StreamClosed()
				s.open(kind, m.StreamOpened(now, rapid.SampledFrom([]string{"p", "p", "q"}).Draw(t, "plane")))
				open = true
			case 5, 6:
				if open {
					deliver()
				}
			}
		}
		s.put("last", "1") // a change, as a broken stream's loss shows with the next one
		if !open {
			s.open(kind, m.StreamOpened(now, "p"))
		}
		for deliver() {
		}
		for _, n := range append(names, "last") {
			content, there := s.content[n]
			wanted := all || want[n]
			got, held := holds[n]
			switch {
			case !wanted && held:
				t.Fatalf("%s is held and not wanted", n)
			case wanted && there && content != "bad" && got != content:
				t.Fatalf("%s: holds %q, the control plane has %q", n, got, content)
			case wanted && there && content == "bad" && held && got != good[n]:
				t.Fatalf("%s: holds %q, its last good form is %q", n, got, good[n])
			case wanted && !there && held && (delta || kind.listsAll()):
				t.Fatalf("%s is held and is gone", n)
			}
		}
	})
}

// The rules that a model of a correct control plane can't show, one after the other.
func TestRules(t *testing.T) {
	const second = time.Second
	m := New(Options{Decode: decode, Variant: Incremental})
	if out, _ := m.Subscribe(0, Endpoint, []string{"x", "y"}); len(out) != 0 {
		t.Errorf("a request with no stream: %+v", out)
	}
	first := m.StreamOpened(10*second, "p")
	if len(first) != 1 || !slices.Equal(first[0].Subscribe, []string{"x", "y"}) || len(first[0].InitialVersions) != 0 {
		t.Errorf("first requests %+v", first)
	}
	receive := func(r Response) (Update, []Request) {
		t.Helper()
		u, owed, err := m.Receive(&r)
		if err != nil {
			t.Fatal(err)
		}
		return u, owed
	}
	x := Resource{Name: "x", Version: "7", Body: body(Endpoint, "x", "1")}
	u, _ := receive(Response{
		URL: Endpoint.URL(), Nonce: "1",
		Resources: []Resource{x, {Name: "z", Body: body(Endpoint, "z", "1")}},
	})
	if len(u.Accepted) != 1 {
		t.Errorf("one that is not subscribed to is accepted: %+v", u)
	}
	if at, ok := m.NextTick(); !ok || at != 25*second {
		t.Errorf("y is waited for until %v, %v", at, ok)
	}
	if u := m.Tick(25*second - 1); len(u) != 0 {
		t.Errorf("too early: %+v", u)
	}
	if u := m.Tick(25 * second); len(u) != 1 || !slices.Equal(u[0].Missing, []string{"y"}) {
		t.Errorf("after 15 s: %+v", u)
	}
	if u := m.Tick(99 * second); len(u) != 0 {
		t.Errorf("told twice: %+v", u)
	}
	m.StreamClosed()
	if again := m.StreamOpened(100*second, "p"); !maps.Equal(again[0].InitialVersions, map[string]string{"x": "7"}) {
		t.Errorf("after a break: %+v", again)
	}
	for name, r := range map[string]Response{
		"no nonce":   {URL: Endpoint.URL()},
		"other type": {URL: Cluster.URL(), Nonce: "5"},
		"no type":    {URL: "what", Nonce: "6"},
	} {
		if u, owed, err := m.Receive(&r); err == nil || len(owed) > 0 || !u.Empty() {
			t.Errorf("%s: %+v, %+v", name, u, owed)
		}
	}
	// A duplicate, another type, another name inside, a name that is too long: each is named in the NACK.
	u, owed := receive(Response{URL: Endpoint.URL(), Nonce: "9", Resources: []Resource{
		{Name: "x", Version: "8", Body: body(Endpoint, "x", "2")},
		{Name: "x", Version: "8", Body: body(Endpoint, "x", "3")},
		{Name: "y", Body: body(Cluster, "y", "1")}, {Name: "y", Body: body(Endpoint, "q", "1")},
		{Body: body(Endpoint, strings.Repeat("n", MaxNameBytes+1), "1")},
	}})
	for _, text := range []string{
		"x: stands there twice", "y: its type is", `y: the resource in it is named "q"`, "1 to 256 bytes",
	} {
		if !strings.Contains(owed[0].ErrorDetail, text) {
			t.Errorf("%q is not in %q", text, owed[0].ErrorDetail)
		}
	}
	if len(u.Accepted) != 1 || u.Accepted[0].Value != "2" {
		t.Errorf("taken: %+v", u.Accepted)
	}
	// The number of resources and the error detail are bounded.
	var many []string
	for i := range MaxResources + 5 {
		many = append(many, fmt.Sprintf("n-%05d", i))
	}
	if _, over := m.Subscribe(0, Endpoint, many); len(over) != 5 {
		t.Errorf("%d names over the bound", len(over))
	}
	o := Options{Decode: decode}
	o.Wildcard[Cluster] = true
	w := New(o)
	w.StreamOpened(0, "p")
	var list []Resource
	for _, n := range many {
		list = append(list, Resource{Body: body(Cluster, n, "1")})
	}
	u, owed, _ = w.Receive(&Response{URL: Cluster.URL(), Nonce: "1", Resources: list})
	if len(u.Accepted) != MaxResources || !strings.Contains(owed[0].ErrorDetail, "there are 2000 already") ||
		len(owed[0].ErrorDetail) > maxErrorDetailBytes {
		t.Errorf("%d taken; %q", len(u.Accepted), owed[0].ErrorDetail)
	}
}

// Servers in order of preference, with a backoff that grows while none responds or streams break at once, and probes of
// the preferred one.
func TestServerSelector(t *testing.T) {
	const ms = time.Millisecond
	p := NewServerSelector(3, FailoverOptions{
		InitialBackoff: 100 * ms, MaxBackoff: time.Second, PreferredProbeInterval: time.Minute,
	})
	now := time.Duration(0)
	fail := func(at int, least, most time.Duration) {
		t.Helper()
		if p.Current() != at {
			t.Errorf("calls plane %d, want %d", p.Current(), at)
		}
		if wait := p.StreamFailed(now, 0.5); wait < least || wait > most {
			t.Errorf("waits %v, want %v to %v", wait, least, most)
		}
	}
	fail(0, 0, 0)
	fail(1, 0, 0)
	fail(2, 100*ms, 100*ms) // all were tried
	fail(0, 0, 0)
	p.StreamOpened(now)
	p.ResponseReceived()
	now += 30 * time.Second
	if p.ReturnToPreferred(now) {
		t.Error("left before its time")
	}
	if now += 31 * time.Second; !p.ReturnToPreferred(now) || p.Current() != 0 {
		t.Error("no look at the preferred one")
	}
	for range 30 { // flaps: opened, answered, broken after 100 ms
		p.StreamOpened(now)
		p.ResponseReceived()
		now += 100 * ms
		wait := p.StreamFailed(now, 1)
		if now += wait; wait > 1200*ms {
			t.Fatalf("waits %v", wait)
		}
	}
	if p.Current() != 0 || p.StreamFailed(now, 0.5) != 0 {
		t.Error("a plane that flaps is left for the next one only when it does not answer")
	}
}

// FuzzMachine plays scripts of a control plane that may do anything.
func FuzzMachine(f *testing.F) {
	f.Add(true, []byte("sa;o;r1a=1;r2a=bad,b=2;c;o;t"))
	f.Add(false, []byte("sab;o;r1a=1;r1a=1;xa;t"))
	f.Fuzz(func(t *testing.T, delta bool, script []byte) {
		o := Options{Decode: decode}
		if delta {
			o.Variant = Incremental
		}
		o.Wildcard[Cluster] = true
		m := New(o)
		now := time.Duration(0)
		for _, step := range strings.Split(string(script), ";") {
			if now += time.Second; step == "" {
				continue
			}
			kind, rest := Type(int(step[0])%int(TypeCount)), step[1:]
			switch step[0] {
			case 'o':
				m.StreamOpened(now, "p")
			case 'c':
				m.StreamClosed()
			case 't':
				m.Tick(now)
			case 's':
				m.Subscribe(now, Endpoint, strings.Split(rest, ","))
			default:
				r := &Response{URL: kind.URL(), Nonce: rest[:min(1, len(rest))], Version: step}
				for _, part := range strings.Split(rest, ",") {
					r.Resources = append(r.Resources, Resource{
						Name: part[:min(1, len(part))], Body: &anypb.Any{TypeUrl: kind.URL(), Value: []byte(part)},
					})
				}
				r.Removed = strings.Split(rest, ".")
				u, owed, err := m.Receive(r)
				if err != nil && (len(owed) > 0 || !u.Empty()) {
					t.Fatal("a response that is of no use changes something")
				}
				if err == nil && (len(owed) != 1 || owed[0].Nonce != r.Nonce ||
					len(owed[0].ErrorDetail) > maxErrorDetailBytes) {
					t.Fatalf("owed %+v", owed)
				}
			}
			for k := range TypeCount {
				if _, v := m.Versions(k); len(v) > MaxResources {
					t.Fatalf("%d resources", len(v))
				}
			}
		}
	})
}
