package discovery

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"yokestall/policy"
)

// Guards against an incomplete response that removes endpoints, and against an invalid entry that reverts an endpoint
// from draining to ready: after each of several random responses, the list must agree with a simple model.
func TestListMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, model := List{}, map[string]policy.EndpointState{}
		for step := range rapid.IntRange(1, 12).Draw(t, "responses") {
			full := step == 0 || rapid.Bool().Draw(t, "full")
			entries, drawn := drawEntries(t)
			body, _ := json.Marshal(map[string]any{"generation": step, "reset": full, "instances": rawEntries(entries)})
			response, err := ParseResponse(body, false, now)
			if err != nil {
				t.Fatal(err)
			}
			updateModel(model, drawn, full)
			for _, instance := range list.Apply(response) {
				id, state := instance.InstanceID, instance.State()
				if state != policy.Removed && model[id] != state {
					t.Fatalf("instance %s is passed on in state %v, want %v", id, state, model[id])
				}
			}
			if len(list.byID) != len(model) {
				t.Fatalf("the list has the instances %v, want those of the model %v", list.byID, model)
			}
		}
	})
}

// drawnEntry is a random entry: the state that its lifecycle stands for, and whether its other fields are valid.
type drawnEntry struct {
	state policy.EndpointState
	valid bool
}

// drawEntries draws the entries of a response with distinct IDs. It returns their JSON texts, and by ID what they say.
func drawEntries(t *rapid.T) (entries []string, drawn map[string]drawnEntry) {
	drawn = map[string]drawnEntry{}
	for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID).Draw(t, "ids") {
		id := fmt.Sprint("s", n)
		states := []policy.EndpointState{policy.Ready, policy.Draining, policy.Removed}
		state := rapid.SampledFrom(states).Draw(t, "state")
		valid := rapid.IntRange(0, 3).Draw(t, "valid") > 0
		weight := 1
		if !valid {
			weight = -1
		}
		lifecycle := [...]string{policy.Ready: "Ready", policy.Draining: "Terminating", policy.Removed: "Gone"}[state]
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":"10.0.0.1:80","lifecycle":%q,"weight":%d}`,
			id, lifecycle, weight))
		drawn[id] = drawnEntry{state, valid}
	}
	return entries, drawn
}

// updateModel applies drawn entries to the model, which maps the ID of each instance on the list to its state.
func updateModel(model map[string]policy.EndpointState, drawn map[string]drawnEntry, full bool) {
	if full {
		for id := range model {
			if _, included := drawn[id]; !included {
				delete(model, id)
			}
		}
	}
	for id, entry := range drawn {
		if entry.state == policy.Removed {
			delete(model, id)
		} else if entry.valid || entry.state == policy.Draining {
			model[id] = entry.state
		}
	}
}

// Guards against removed IDs that are forgotten too early or accumulate without a limit: of many IDs removed one after
// another, the list remembers just the last MaxRemovedIDs.
func TestListRecentlyListed(t *testing.T) {
	var list List
	for i := range 3 * MaxRemovedIDs {
		instance := Instance{InstanceID: strconv.Itoa(i), Lifecycle: "Ready"}
		list.Apply(&Response{Full: true, Instances: []Instance{instance}})
	}
	if len(list.removedIDs) != MaxRemovedIDs {
		t.Errorf("the list remembers %d removed IDs, want MaxRemovedIDs", len(list.removedIDs))
	}
	for id, want := range map[string]bool{
		strconv.Itoa(3*MaxRemovedIDs - 1): true, strconv.Itoa(2 * MaxRemovedIDs): true, "0": false, "none": false,
	} {
		if got := list.RecentlyListed(id); got != want {
			t.Errorf("RecentlyListed(%q) is %v, want %v", id, got, want)
		}
	}
}
