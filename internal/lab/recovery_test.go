package lab

import (
	"fmt"
	"testing"

	"yokestall/internal/fleetsim"
)

// Recovery is timed from a moment to the first window in which so much of the oracle's weight is earned; -1ns: never.
func TestRecoveryTimes(t *testing.T) {
	program := &Outcome{Seeds: []*fleetsim.Result{{Tenths: make([]float64, 31)}}}
	oracle := &Outcome{Seeds: []*fleetsim.Result{{Tenths: make([]float64, 31)}}}
	for i := range 31 {
		oracle.Seeds[0].Tenths[i], program.Seeds[0].Tenths[i] = 10, min(float64(i), 9.5)
	}
	if got := fmt.Sprint(RecoveryTimes(program, oracle, 0, 0.5, 0.9, 0.99)); got != "[300ms 800ms -1ns]" {
		t.Errorf("recovered after %s", got)
	}
}
