package ingress

import (
	"errors"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokestall/policy"
)

func TestReadAttributes(t *testing.T) {
	destination := Destination{
		Deadline: time.Second, Tenants: map[string]int{"a": 0, "b": 1}, Idempotency: policy.IdempotentByKey,
	}
	complete := func(name, value string) http.Header {
		h := http.Header{
			"X-Request-Id": {"r-1"}, "X-Tenant-Id": {"b"}, "X-Timeout-Ms": {"200"}, "Idempotency-Key": {"k"},
			"X-Cost": {"1500"},
		}
		delete(h, name)
		if value != "" {
			h[name] = strings.Split(value, "|")
		}
		return h
	}
	classDeadline := func(a *Attributes) { a.Timeout = destination.Deadline }
	all := Attributes{
		ID: "r-1", Tenant: 1, Timeout: 200 * time.Millisecond, WorkHint: 1500 * time.Microsecond, IdempotencyKey: "k",
	}
	with := func(edit func(*Attributes)) Attributes {
		a := all
		edit(&a)
		return a
	}
	longestID := strings.Repeat("a", 128)
	for name, c := range map[string]struct {
		header          http.Header
		want            Attributes
		lenient, strict string // start of the error's message without and with strict; "": no error
	}{
		"complete":       {complete("X-Other", ""), all, "", ""},
		"no id":          {complete("X-Request-Id", ""), with(func(a *Attributes) { a.ID = "" }), "", "X-Request-ID"},
		"two ids":        {complete("X-Request-Id", "a|b"), all, "X-Request-ID", "X-Request-ID"},
		"bad id":         {complete("X-Request-Id", "a b"), all, "X-Request-ID", "X-Request-ID"},
		"longest id":     {complete("X-Request-Id", longestID), with(func(a *Attributes) { a.ID = longestID }), "", ""},
		"long id":        {complete("X-Request-Id", longestID+"a"), all, "X-Request-ID", "X-Request-ID"},
		"no tenant":      {complete("X-Tenant-Id", ""), with(func(a *Attributes) { a.Tenant = 0 }), "", "X-Tenant-Id"},
		"unknown tenant": {complete("X-Tenant-Id", "c"), all, "X-Tenant-Id", "X-Tenant-Id"},
		"no timeout":     {complete("X-Timeout-Ms", ""), with(classDeadline), "", "X-Timeout-Ms"},
		"long timeout":   {complete("X-Timeout-Ms", "9000"), with(classDeadline), "", ""},
		"timeout 0":      {complete("X-Timeout-Ms", "0"), all, "X-Timeout-Ms", "X-Timeout-Ms"},
		"bad timeout":    {complete("X-Timeout-Ms", "1.5"), all, "X-Timeout-Ms", "X-Timeout-Ms"},
		"no cost":        {complete("X-Cost", ""), with(func(a *Attributes) { a.WorkHint = 0 }), "", ""},
		"bad cost":       {complete("X-Cost", "x"), with(func(a *Attributes) { a.WorkHint = 0 }), "", ""},
		"no key":         {complete("Idempotency-Key", ""), all, "Idempotency-Key", "Idempotency-Key"},
	} {
		for _, strict := range []bool{false, true} {
			wantMessage := c.lenient
			if strict {
				wantMessage = c.strict
			}
			got, err := ReadAttributes(c.header, &destination, strict)
			if wantMessage == "" {
				if err != nil || got != c.want {
					t.Errorf("%s, strict %v: got %+v, error %v; want %+v", name, strict, got, err, c.want)
				}
				continue
			}
			var rejection *Rejection
			if !errors.As(err, &rejection) || rejection.Status != http.StatusBadRequest ||
				!strings.HasPrefix(rejection.Message, wantMessage) {
				t.Errorf("%s, strict %v: got error %v, want a Rejection with status 400 and a message about %s", name, strict, err, wantMessage)
			}
		}
	}
}

// TestReadAttributesOfGRPC checks that Grpc-Timeout lowers the timeout of a request, except with strict.
func TestReadAttributesOfGRPC(t *testing.T) {
	h := http.Header{"X-Request-Id": {"r"}, "X-Timeout-Ms": {"500"}, "Grpc-Timeout": {"100m"}}
	for strict, want := range map[bool]time.Duration{false: 100 * time.Millisecond, true: 500 * time.Millisecond} {
		a, err := ReadAttributes(h, &Destination{Deadline: time.Second}, strict)
		if err != nil || a.Timeout != want || a.IdempotencyKey != "" {
			t.Errorf("strict %v: got %+v, error %v; want timeout %v and no key", strict, a, err, want)
		}
	}
}

func TestParseGRPCTimeout(t *testing.T) {
	const tooLong = time.Duration(math.MaxInt64)
	for text, want := range map[string]time.Duration{
		"1H": time.Hour, "2M": 2 * time.Minute, "3S": 3 * time.Second, "4m": 4 * time.Millisecond,
		"5u": 5 * time.Microsecond, "6n": 6, "0S": 0, "99999999S": 99999999 * time.Second, "99999999H": tooLong,
		"": -1, "1": -1, "S": -1, "1s": -1, "-1S": -1, "1.5S": -1, "100000000n": -1,
	} {
		got, ok := ParseGRPCTimeout(text)
		switch {
		case ok != (want >= 0):
			t.Errorf("%q: got %v, valid %v; want the opposite validity", text, got, ok)
		case want == tooLong:
			if got > maxGRPCTimeout || got < maxGRPCTimeout-time.Hour {
				t.Errorf("%q: got %v, want at most %v and less than an hour below it", text, got, maxGRPCTimeout)
			}
		case ok && got != want:
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}

func TestFormatRetryAfter(t *testing.T) {
	for d, want := range map[time.Duration]string{
		0: "0.000", 250 * time.Millisecond: "0.250", 2 * time.Second: "2.000", 1234567 * time.Nanosecond: "0.001",
	} {
		if got := FormatRetryAfter(d); got != want {
			t.Errorf("%v: got %s, want %s", d, got, want)
		}
	}
}
