package simulator

import (
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"yokestall/policy"
)

// The golden file holds every key of an instance's settings that the program reads. The settings are written by other
// programs only, so the names, types and units of the keys must not change.
func TestGoldenSettingsParse(t *testing.T) {
	text, err := os.ReadFile("testdata/golden/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	const ms = time.Millisecond
	want := policy.Settings{
		NodeCount: 3, NodeIndex: 2, Zone: 1,
		Classes: []policy.Class{
			{Deadline: 1401 * ms, LatencyObjective: 581 * ms, ObjectiveWorkFactor: 4.25, LateWeight: 0.51, PriorityWeight: 2.25, Idempotency: policy.IdempotentByKey, DedupScope: policy.ScopeZone, DedupWindow: 5001 * ms, Stream: true},
			{Deadline: 1402 * ms, LatencyObjective: 582 * ms, ObjectiveWorkFactor: 5.25, LateWeight: 0.52, PriorityWeight: 3.25, Idempotency: policy.Idempotent, DedupScope: policy.ScopeAll, DedupWindow: 5002 * ms},
			{Deadline: 1403 * ms, LatencyObjective: 583 * ms, ObjectiveWorkFactor: 6.25, LateWeight: 0.53, PriorityWeight: 4.25, Idempotency: policy.NotIdempotent, DedupScope: policy.ScopeCell, DedupWindow: 5003 * ms},
		},
		Tenants:         []policy.Tenant{{QuotaPerSecond: 84.5}, {QuotaPerSecond: 85.5}},
		OverQuotaWeight: 0.05, WeightPerWork: true, PollEndpoints: true, Tick: 7 * ms,
		Limits: policy.Limits{MaxAttempts: 4, AllowHedging: true, AllowCancel: true, MaxRetryAfter: 605 * ms},
		Rules:  policy.Rules{SlowStartMinCapacity: 0.32, SlowStartWindow: 8801 * ms, OverloadMultiple: 3.5, OverloadDuration: 1002 * ms, MaxPollInterval: 9003 * ms, AnswerGrace: 104 * ms},
		Costs:  policy.Costs{NewConnection: 0.061, WastedWork: 0.062},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// The golden file is a batch in hexadecimal digits: its header, one event record per line, and its tail. The simulator
// writes batches and this program only reads them, so their format must not change.
func TestGoldenBatchDecodes(t *testing.T) {
	text, err := os.ReadFile("testdata/golden/batch.hex")
	if err != nil {
		t.Fatal(err)
	}
	b, err := NewReader(bytes.NewReader(unhex(t, strings.ReplaceAll(string(text), "\n", "")))).Read()
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 8500500*time.Microsecond || b.Number != 12 {
		t.Errorf("got a clock of %v and batch number %d, want 8.5005s and 12", b.Now, b.Number)
	}
	const us = time.Microsecond
	endpoints := []policy.Endpoint{
		{ID: 0x0a124a071f93, Zone: 1, Cell: 2, State: policy.Ready, Weight: 1.25, StartedAt: 6100500 * us},
		{ID: 0x0a9011f21fbc, Zone: 3, Cell: 4, State: policy.Draining, Weight: 1.5, StartedAt: 6200500 * us},
		{ID: 0x0a9011f21fbd, Zone: 5, Cell: 6, State: policy.Removed, Weight: 1.75, StartedAt: 6300500 * us},
	}
	want := []Event{
		{Code: CodeSelectInstance, Instance: 3},
		{Code: CodeOpenInstance, Seed: 0x8c1f30d27a5be964, Settings: []byte(`{"Me":2}`)},
		{Code: CodeEndpointUpdate, Kind: policy.DeltaUpdate, Endpoints: endpoints},
		{Code: CodeEndpointUpdate, Kind: policy.FullUpdate, Endpoints: endpoints},
		{Code: CodeEndpointUpdate, Kind: policy.CachedUpdate, Endpoints: endpoints},
		{Code: CodeEndpointUpdate, Kind: policy.UpdateFailed, Endpoints: endpoints},
		{Code: CodeRequest, Request: policy.Request{ID: 0x5d3a91c4, Class: 5, Tenant: 6, TimeRemaining: 240500 * us, WorkHint: 12500 * us}},
		{Code: CodeStreamStarted, Outcome: policy.Outcome{ID: 0x5d3a91c5, Attempt: 7, Endpoint: 0x0a124a071f93}},
	}
	for i, status := range []policy.Status{policy.OK, policy.ErrorResponse, policy.Rejected, policy.Timeout, policy.ConnectFailed, policy.Reset, policy.Cancelled, policy.NeverSent} {
		want = append(want, Event{Code: CodeOutcome, Outcome: policy.Outcome{ID: policy.RequestID(0x5d3a91d0 + i), Attempt: i + 1,
			Endpoint: 0x0a124a071f93, Status: status, RequestDone: true, Latency: 18500*us + time.Duration(i)*time.Millisecond}})
	}
	want = append(want, Event{Code: CodeClientDisconnected, Outcome: policy.Outcome{ID: 0x0e6f2b19}}, Event{Code: CodeTimer, Token: 0x4d}, Event{Code: CodeCloseInstance})
	if len(want) != b.Count {
		t.Fatalf("got %d events, want %d", b.Count, len(want))
	}
	for i := range b.Count {
		var got Event
		if err := b.Event(i, &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want[i]) {
			t.Errorf("event %d: got  %+v\nwant %+v", i, got, want[i])
		}
	}
}
