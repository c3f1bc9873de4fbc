package main

import (
	"bufio"
	"bytes"
	"testing"

	"yokestall/internal/simulator"
	"yokestall/policy"
)

// A panic of one instance must be reported to the simulator; unhandled, it would end the process without a reply.
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
		t.Fatalf("got action codes %v, want 68 (select instance) and 77 (fatal), with the panic's text", got)
	}
}
