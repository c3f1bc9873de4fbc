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

// Of two concurrent publishes from one base, exactly one succeeds. A repeated publish takes effect once, a version with a
// stale base is rejected, and a rollback creates a new version.
func TestPublishing(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	first := f.publish("one", 0, versionWithEffect("safe"))
	if first.Number != 1 || first.Contradicts || !f.waitForOutcome(1).InForce {
		t.Fatalf("first publish: reply %+v, want version 1 in force without a contradiction", first)
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
		t.Fatalf("two concurrent publishes: replies %+v and %+v, want version 2 and an error", a, b)
	}
	if !f.waitForOutcome(2).InForce {
		t.Fatal("version 2 is refused, want it in force")
	}
	late := f.publish("three", 1, versionWithEffect("unsafe"))
	if late.Number != 0 || !strings.Contains(late.Error, "base is not the active version") || late.ActiveVersion != 2 {
		t.Errorf("publish with a stale base: reply %+v, want an error and the active version 2", late)
	}
	if again := f.publish("one", 0, versionWithEffect("safe")); again.Number != 1 {
		t.Errorf("repeated publish: reply %+v, want version 1", again)
	}
	back, err := f.client.Rollback(f.context(), "back", 2, 1)
	if err != nil || back.Number != 3 || !f.waitForOutcome(3).InForce {
		t.Fatalf("rollback: reply %+v, %v; want version 3 in force", back, err)
	}
	for i := range f.nodes {
		f.waitForEffect(i, "safe")
	}
}

// If one node can't use a version, no node acts on it, and the outcome names that node and its reason. A version that
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
		t.Errorf("version that n3 can't use: outcome %+v, want a refusal with n3's reason", o)
	}
	if s, err := f.client.LatestStatus(f.context()); err != nil || s.LogStatus.ActiveVersion != 1 ||
		s.LogStatus.PendingVersion != 0 {
		t.Errorf("after the refusal: status %+v, %v; want version 1 active and none pending", s, err)
	}
	for i := range f.nodes {
		f.waitForEffect(i, "safe")
	}
	bad := f.publish("three", 1, versionWithEffect("brave"))
	if bad.Number != 0 || !strings.Contains(bad.Error, "brave") {
		t.Errorf("version that can't be parsed: reply %+v, want an error that names the effect", bad)
	}
	other := config.File{
		Name: "x.toml",
		Text: []byte("[cluster]\nname = \"other\"\nno_servers = \"on purpose\"\n[end]\nendpoints = 0\n"),
	}
	if next := f.publish("four", 1, append(versionWithEffect("safe"), other)); next.Number == 0 {
		t.Errorf("publish after a refusal: reply %+v, want a published version", next)
	}
}

// Versions over the limits are rejected, and exactly one of many concurrent publishes from one base succeeds.
func TestTooMuch(t *testing.T) {
	f := newTestFleet(t, 1, 0)
	f.publish("one", 0, versionWithEffect("safe"))
	many := versionWithEffect("safe")
	for i := range consensus.MaxPartsPerVersion {
		many = append(many, config.File{Name: fmt.Sprint("f", i)})
	}
	if _, err := f.client.Publish(f.context(), "many", 1, many); err == nil {
		t.Errorf("a version with over %d files was accepted", consensus.MaxPartsPerVersion)
	}
	big := append(versionWithEffect("safe"), config.File{Name: "big.toml", Text: make([]byte, config.MaxFileBytes+1)})
	if _, err := f.client.Publish(f.context(), "big", 1, big); err == nil {
		t.Errorf("a file of %d bytes was accepted; at most %d are allowed", config.MaxFileBytes+1, config.MaxFileBytes)
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
		t.Errorf("200 concurrent publishes from one base: versions %v, want exactly one", numbers)
	}
	if !f.waitForOutcome(2).InForce {
		t.Error("version 2 is refused, want it in force")
	}
}
