package cli

import (
	"bytes"
	"reflect"
	"testing"

	"yokestall/internal/fleet/agent"
	"yokestall/internal/testutil/golden"
)

// The JSON output of the commands that propose a version equals the golden file. The other fleet commands print types of
// package agent, which has golden files of its own.
func TestGoldenPublishOutput(t *testing.T) {
	want := publishResult{
		ID: "id-a",
		PublishReply: &agent.PublishReply{
			Number: 1, Contradicts: true, Error: "error-a", Retry: true, ActiveVersion: 2,
			Differences: []string{"difference-a"},
		},
		PublishOutcome: &agent.PublishOutcome{
			InForce: true, RefusalReason: "reason-a", WaitingFor: []string{"node-a", "node-b"},
		},
	}
	golden.NonZero(t, want)
	text := golden.Read(t, "testdata/golden/publish.json")
	var got publishResult
	golden.Strict(t, text, &got)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v; want %+v", got, want)
	}
	var out bytes.Buffer
	if err := (&fleetCommands{out: &out, json: true}).print(want, nil); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), text) {
		t.Errorf("printed\n%s\nwant\n%s", out.Bytes(), text)
	}
}
