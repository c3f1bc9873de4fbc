package agent

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"yokestall/internal/config"
	"yokestall/internal/fleet/consensus"
)

// Of two publishers at once one succeeds; a repeated publish is one; a version from an old base is rejected; a rollback
// is a new version.
func TestPublishing(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	first := f.publish("one", 0, versionWithEffect("safe"))
	if first.Number != 1 || first.Contradicts || !f.waitForOutcome(1).InForce {
		t.Fatalf("%+v", first)
	}
	for i := range f.nodes {
		f.waitForEffect(i, "safe")
	}
	results := make(chan *PublishReply, 2)
	for _, effect := range []string{"unsafe", "keyed\"\nscope = \"all\"\nwindow = \"5s"} {
		go func() { results <- f.publish("two-"+effect, 1, versionWithEffect(effect)) }()
	}
	a, b := <-results, <-results
	if a.Number == 0 {
		a, b = b, a
	}
	if a.Number != 2 || !a.Contradicts || b.Number != 0 || b.Error == "" {
		t.Fatalf("of two at once: %+v, %+v", a, b)
	}
	if !f.waitForOutcome(2).InForce {
		t.Fatal("not in force")
	}
	late := f.publish("three", 1, versionWithEffect("unsafe"))
	if late.Number != 0 || !strings.Contains(late.Error, "not the present one") || late.ActiveVersion != 2 {
		t.Errorf("from an old version: %+v", late)
	}
	if again := f.publish("one", 0, versionWithEffect("safe")); again.Number != 1 {
		t.Errorf("the same publish again: %+v", again)
	}
	back, err := f.client.Rollback(f.context(), "back", 2, 1)
	if err != nil || back.Number != 3 || !f.waitForOutcome(3).InForce {
		t.Fatalf("%+v, %v", back, err)
	}
	for i := range f.nodes {
		f.waitForEffect(i, "safe")
	}
}

// No node acts on a version that one of them can't use, and the outcome names that node and its reason. A version that
// can't be parsed is not proposed.
func TestRefused(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.publish("one", 0, versionWithEffect("safe"))
	for i := range f.nodes {
		f.waitForEffect(i, "safe")
	}
	f.nodes[3].checkVersion = func(v *consensus.Version) error {
		if v.Program.Classes[0].Idempotency != 0 {
			return errors.New("an older program knows no such class")
		}
		return nil
	}
	p := f.publish("two", 1, versionWithEffect("unsafe"))
	if o := f.waitForOutcome(p.Number); o.InForce || !strings.HasPrefix(o.RefusalReason, "n3: an older program") {
		t.Errorf("%+v", o)
	}
	if s, err := f.client.LatestStatus(f.context()); err != nil || s.LogStatus.ActiveVersion != 1 ||
		s.LogStatus.PendingVersion != 0 {
		t.Errorf("%+v, %v", s, err)
	}
	for i := range f.nodes {
		f.waitForEffect(i, "safe")
	}
	bad := f.publish("three", 1, versionWithEffect("brave"))
	if bad.Number != 0 || !strings.Contains(bad.Error, "brave") {
		t.Errorf("a version that can't be read: %+v", bad)
	}
	other := config.File{
		Name: "x.toml",
		Text: []byte("[cluster]\nname = \"other\"\nno_servers = \"on purpose\"\n[end]\nendpoints = 0\n"),
	}
	if next := f.publish("four", 1, append(versionWithEffect("safe"), other)); next.Number == 0 {
		t.Errorf("after a refusal: %+v", next)
	}
}

// Versions over the limits are rejected, and of many publishes from one base one succeeds.
func TestTooMuch(t *testing.T) {
	f := newTestFleet(t, 1, 0)
	f.publish("one", 0, versionWithEffect("safe"))
	many := versionWithEffect("safe")
	for i := range consensus.MaxFiles {
		many = append(many, config.File{Name: fmt.Sprint("f", i)})
	}
	if _, err := f.client.Publish(f.context(), "many", 1, many); err == nil {
		t.Error("too many files")
	}
	big := append(versionWithEffect("safe"), config.File{Name: "big.toml", Text: make([]byte, config.MaxFile+1)})
	if _, err := f.client.Publish(f.context(), "big", 1, big); err == nil {
		t.Error("a file over the limit")
	}
	var publishers sync.WaitGroup
	numbersReceived := make(chan uint64, 200)
	for i := range 200 {
		publishers.Go(func() {
			p, err := f.client.Publish(f.context(), fmt.Sprint("flood-", i), 1, versionWithEffect("unsafe"))
			if err == nil {
				numbersReceived <- p.Number
			}
		})
	}
	publishers.Wait()
	close(numbersReceived)
	numbers := map[uint64]bool{}
	for n := range numbersReceived {
		numbers[n] = true
	}
	delete(numbers, 0)
	if len(numbers) != 1 {
		t.Errorf("of a flood from one base: %v", numbers)
	}
	if !f.waitForOutcome(2).InForce {
		t.Error("not in force")
	}
}
