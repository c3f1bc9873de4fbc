package main

import (
	"bufio"
	"bytes"
	"testing"

	"yokestall/internal/simulator"
	"yokestall/policy"
)

// Guards against a panic of the module that takes the whole host down silently.
func TestPanicIsReportedAsFatal(t *testing.T) {
	h := host{instances: map[uint16]*policy.Balancer{4: nil}, current: 4}
	h.reply.Reset()
	h.reply.SelectInstance(4)
	h.handle(&simulator.Batch{Number: 7}, &simulator.Event{Code: simulator.CodeRequest})
	var out bytes.Buffer
	if err := h.reply.WriteTo(bufio.NewWriter(&out), 7); err != nil {
		t.Fatal(err)
	}
	if got := actionCodes(t, out.Bytes()); !bytes.Equal(got, []byte{68, 77}) ||
		!bytes.Contains(out.Bytes(), []byte("panic")) {
		t.Fatalf("action codes %v, want a context and fatal", got)
	}
}
