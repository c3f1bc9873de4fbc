package discovery

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"yokestall/policy"
)

// Guards against an incomplete response that removes endpoints, and against an invalid line that takes a drain back:
// the list is compared with a plain model, whatever the responses.
func TestListMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, model := List{}, map[string]policy.EndpointState{}
		for step := range rapid.IntRange(1, 12).Draw(t, "responses") {
			full := step == 0 || rapid.Bool().Draw(t, "full")
			lines, drawn := drawEntries(t)
			body, _ := json.Marshal(map[string]any{"generation": step, "reset": full, "instances": rawEntries(lines)})
			response, err := ParseResponse(body, false, now)
			if err != nil {
				t.Fatal(err)
			}
			updateModel(model, drawn, full)
			for _, instance := range list.Apply(response) {
				id, state := instance.InstanceID, instance.State()
				if state != policy.Removed && model[id] != state {
					t.Fatalf("%s is passed on as %v, want %v", id, state, model[id])
				}
			}
			if len(list.byID) != len(model) {
				t.Fatalf("list %v, want %v", list.byID, model)
			}
		}
	})
}

// drawnEntry is what a drawn line says, and whether its other fields are valid.
type drawnEntry struct {
	state policy.EndpointState
	valid bool
}

// drawEntries draws the lines of a response.
func drawEntries(t *rapid.T) (lines []string, drawn map[string]drawnEntry) {
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
		lines = append(lines, fmt.Sprintf(`{"instanceId":%q,"hostPort":"10.0.0.1:80","lifecycle":%q,"weight":%d}`,
			id, lifecycle, weight))
		drawn[id] = drawnEntry{state, valid}
	}
	return lines, drawn
}

// updateModel applies drawn lines to the model: the states of the instances on the list, by ID.
func updateModel(model map[string]policy.EndpointState, drawn map[string]drawnEntry, full bool) {
	if full {
		for id := range model {
			if _, named := drawn[id]; !named {
				delete(model, id)
			}
		}
	}
	for id, line := range drawn {
		if line.state == policy.Removed {
			delete(model, id)
		} else if line.valid || line.state == policy.Draining {
			model[id] = line.state
		}
	}
}

// IDs that have left the list are remembered, the latest MaxRemovedIDs of them.
func TestListRecentlyListed(t *testing.T) {
	var list List
	for i := range 3 * MaxRemovedIDs {
		instance := Instance{InstanceID: strconv.Itoa(i), Lifecycle: "Ready"}
		list.Apply(&Response{Full: true, Instances: []Instance{instance}})
	}
	if len(list.removedIDs) != MaxRemovedIDs {
		t.Errorf("%d IDs are remembered", len(list.removedIDs))
	}
	for id, want := range map[string]bool{
		strconv.Itoa(3*MaxRemovedIDs - 1): true, strconv.Itoa(2 * MaxRemovedIDs): true, "0": false, "none": false,
	} {
		if got := list.RecentlyListed(id); got != want {
			t.Errorf("%s: %v, want %v", id, got, want)
		}
	}
}
