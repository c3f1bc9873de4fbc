package lab

import (
	"fmt"
	"testing"

	"yokestall/internal/fleetsim"
)

// The recovery time of a share ends with the beginning of the first window in which that share of the oracle's weight is
// earned. It is -1ns if there is no such window.
func TestRecoveryTimes(t *testing.T) {
	program := &Outcome{Seeds: []*fleetsim.Result{{WeightByTenth: make([]float64, 31)}}}
	oracle := &Outcome{Seeds: []*fleetsim.Result{{WeightByTenth: make([]float64, 31)}}}
	for i := range 31 {
		oracle.Seeds[0].WeightByTenth[i], program.Seeds[0].WeightByTenth[i] = 10, min(float64(i), 9.5)
	}
	if got := fmt.Sprint(RecoveryTimes(program, oracle, 0, 0.5, 0.9, 0.99)); got != "[300ms 800ms -1ns]" {
		t.Errorf("recovery times: got %s, want [300ms 800ms -1ns]", got)
	}
}
