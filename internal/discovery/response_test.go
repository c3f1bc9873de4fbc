package discovery

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"yokestall/policy"
)

// Guards against an invalid entry that makes a valid entry beside it unusable, or that removes or changes its own
// endpoint. The wanted use of the entry is one of "used", "drained" (only its lifecycle and address are applied),
// "retained" (the instance stays as it was), "delta" (the response removes no instance that it does not contain) and
// "invalid response" (no entry is used).
func TestParseResponseUseOfLine(t *testing.T) {
	for entry, want := range map[string]string{
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:                             "used",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","extra":{"x":[1]}}`:           "used",
		`{"instanceId":"b","lifecycle":"Terminating"}`:                                                "drained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Novel"}`:                             "drained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Terminating","weight":-1}`:           "drained",
		`{"instanceId":"b","hostPort":17,"lifecycle":"Terminating"}`:                                  "drained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","weight":-1}`:                 "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","weight":1e30}`:               "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","weight":"big"}`:              "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","cell":-2}`:                   "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","cell":1.5}`:                  "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","startedAtMs":-5}`:            "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","startedAtMs":1900000000000}`: "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","startedAtMs":1e308}`:         "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2","lifecycle":"Ready"}`:                                "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:99999","lifecycle":"Ready"}`:                          "retained",
		`{"instanceId":"b","hostPort":"","lifecycle":"Ready"}`:                                        "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80"}`:                                                 "retained",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Ready","zone":"` + overlong + `"}`:   "retained",
		`{"instanceId":"","hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:                              "delta",
		`{"instanceId":7,"hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:                               "delta",
		`{"instanceId":"` + overlong + `","hostPort":"10.0.0.2:80","lifecycle":"Ready"}`:              "delta",
		`7`:    "delta",
		`null`: "delta",
		`[]`:   "delta",
		`{"instanceId":"b","hostPort":"10.0.0.2:80","lifecycle":"Rea`: "invalid response",
	} {
		response, err := parseWithValidEntry(entry)
		got := "invalid response"
		if err == nil {
			got = useOfEntry(t, response)
			invalidField := strings.Contains(entry, "-1") || strings.Contains(entry, "17")
			complete := got == "used" || got == "drained" && !invalidField
			if complete != (response.Incomplete == nil) {
				t.Errorf("entry %s: Incomplete is %v, want nil only for a used entry or a valid drain", entry, response.Incomplete)
			}
		}
		if got != want {
			t.Errorf("entry %s: got use %q, want %q; error: %v", entry, got, want, err)
		}
	}
}

// parseWithValidEntry parses a full response that consists of validEntry and the given entry.
func parseWithValidEntry(entry string) (*Response, error) {
	body := `{"generation":4,"reset":true,"instances":[` + validEntry + `,` + entry + `]}`
	return ParseResponse([]byte(body), false, now)
}

// useOfEntry applies a response to a list with a ready instance "b" and returns how the response's entry for "b" was
// used. It also checks that the response's valid entry "a" is used.
func useOfEntry(t *testing.T, response *Response) string {
	list := List{}
	earlier := Instance{InstanceID: "b", HostPort: "10.0.0.9:80", Lifecycle: "Ready"}
	list.Apply(&Response{Full: true, Instances: []Instance{earlier}})
	instances := list.Apply(response)
	if instances[0].InstanceID != "a" || instances[0].Weight != 1.5 {
		t.Errorf("first instance passed on is %+v, want that of the valid entry", instances[0])
	}
	i := slices.IndexFunc(instances, func(instance Instance) bool { return instance.InstanceID == "b" })
	switch {
	case !response.Full && i < 0:
		return "delta"
	case i < 0:
		return "removed"
	case instances[i].State() == policy.Draining:
		return "drained"
	case instances[i].HostPort == "10.0.0.9:80":
		return "retained"
	}
	return "used"
}

// Guards against a response that is truncated, malformed or over a limit and is applied in part: ParseResponse must return
// an error for it.
func TestParseResponseInvalid(t *testing.T) {
	valid := `{"generation":4,"reset":true,"instances":[` + validEntry + `]}`
	for n := range len(valid) { // a response truncated at each byte
		if response, err := ParseResponse([]byte(valid[:n]), false, now); err == nil {
			t.Fatalf("response truncated after %d bytes: parsed as %+v, want an error", n, response)
		}
	}
	tooMany := strings.Repeat(`{},`, MaxInstances) + `{}`
	for name, body := range map[string]string{
		"second object after the end": valid + valid,
		"invalid data after the end":  valid + "\x00",
		"no generation":               `{"reset":true,"instances":[]}`,
		"negative generation":         `{"generation":-4,"reset":true,"instances":[]}`,
		"generation too large":        `{"generation":1e40,"reset":true,"instances":[]}`,
		"no instances":                `{"generation":4,"reset":true}`,
		"instances is an object":      `{"generation":4,"reset":true,"instances":{"a":1}}`,
		"top-level array":             `[1,2]`,
		"HTML page":                   `<html>busy</html>`,
		"too many entries":            `{"generation":4,"reset":true,"instances":[` + tooMany + `]}`,
		"too many bytes":              valid + strings.Repeat(" ", MaxResponseBytes),
		"nested too deeply to decode": strings.Repeat("[", 100_000),
	} {
		if response, err := ParseResponse([]byte(body), true, now); err == nil {
			t.Errorf("%s: parsed as %+v, want an error", name, response)
		}
	}
	response, err := ParseResponse([]byte(valid+" \n"), false, now)
	if err != nil || response.Incomplete != nil || len(response.Instances) != 1 {
		t.Errorf("valid response followed by white space: got %+v, error %v; want one instance and no error", response, err)
	}
}

// An operator finds the faulty entry by the text of Incomplete: it names the first unusable or duplicate entry, and the
// cause.
func TestResponseIncomplete(t *testing.T) {
	for _, c := range []struct {
		entries, text string
		duplicate     bool
	}{
		{validEntry + `,` + validEntry, `entry 2, instance "a": duplicate instanceId`, true},
		{`{"instanceId":"b"},{}`, `entry 1, instance "b": lifecycle is missing`, false},
		{validEntry + `,{}`, `entry 2: instanceId is missing`, false},
	} {
		body := `{"generation":4,"reset":true,"instances":[` + c.entries + `]}`
		response, err := ParseResponse([]byte(body), false, now)
		if err != nil {
			t.Fatal(err)
		}
		if response.Incomplete == nil || response.Incomplete.Error() != c.text {
			t.Errorf("entries %s: Incomplete is %v, want %s", c.entries, response.Incomplete, c.text)
			continue
		}
		var field *FieldError
		isDuplicate, isField := errors.Is(response.Incomplete, ErrDuplicateID), errors.As(response.Incomplete, &field)
		if isDuplicate != c.duplicate || isField == c.duplicate {
			t.Errorf("entries %s: unexpected type of cause %T", c.entries, response.Incomplete.Err)
		}
	}
}

// Guards against bodies for which ParseResponse panics or returns instances with a duplicate ID or an invalid field.
func FuzzParseResponse(f *testing.F) {
	f.Add([]byte(`{"generation":4,"reset":true,"instances":[` + validEntry + `,{"instanceId":"a","lifecycle":"Gone"},7]}`))
	f.Add([]byte(`{"generation":4,"instances":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		response, err := ParseResponse(body, false, now)
		if err != nil {
			return
		}
		seen := map[string]bool{}
		for _, instance := range response.Instances {
			noAddress := instance.State() == policy.Ready && instance.HostPort == ""
			if instance.InstanceID == "" || seen[instance.InstanceID] || instance.Weight < 0 || instance.Cell < 0 || noAddress {
				t.Errorf("instance passed on with a duplicate ID or an invalid field: %+v", instance)
			}
			seen[instance.InstanceID] = true
		}
	})
}

// rawEntries converts the texts of entries to raw JSON, for encoding into a response.
func rawEntries(entries []string) []json.RawMessage {
	raw := []json.RawMessage{}
	for _, entry := range entries {
		raw = append(raw, json.RawMessage(entry))
	}
	return raw
}
