package simulator

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"yokestall/policy"
)

func TestEncodesActions(t *testing.T) {
	var r Reply
	r.Reset()
	const endpoint = policy.EndpointID(0x0a124a071f93)
	r.SelectInstance(3)
	r.Send(0x5d3a91c4, endpoint, 80*time.Millisecond)
	r.SetTimer(8400*time.Millisecond, 0x4d)
	r.Cancel(0x5d3a91c4, 1)
	r.SelectInstance(5)
	r.Reject(0x0e6f2b19, 250*time.Millisecond)
	r.Fail(7)
	r.RequestPoll()
	r.Fatal("broken")
	var out bytes.Buffer
	if err := r.WriteTo(bufio.NewWriter(&out), 12); err != nil {
		t.Fatal(err)
	}
	pad := func(text string) []byte {
		raw := unhex(t, text)
		return append(raw, make([]byte, actionSize-len(raw))...)
	}
	want := join(unhex(t, "00000009 000000de 0000000c"),
		pad("44 0003"), pad("42 5d3a91c4 0a124a07 1f93 4054000000000000"),
		pad("48 40c0680000000000 000000000000004d"),
		pad("41 5d3a91c4 0001"), pad("44 0005"), pad("47 0e6f2b19 406f400000000000"), pad("49 00000007"),
		pad("4b 01"), pad("4d 00000000 00000006"), []byte("broken"))
	if !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("got\n%x\nwant\n%x", out.Bytes(), want)
	}
}
