package scale

import (
	"testing"
)

// Times are told by the share of nodes that were no slower.
func TestTimes(t *testing.T) {
	w := &player{rig: &rig{size: 200}, figures: &Figures{Series: map[string]*Series{}}}
	var list []float64
	for i := range 200 {
		list = append(list, float64(200-i))
	}
	w.addPercentiles(Step{Name: "list"}, "in_force", map[Role][]float64{NodeRole: list, ServeRole: {7}})
	for key, want := range map[string]float64{
		"list.node.in_force_p50": 100, "list.node.in_force_p99": 198, "list.node.in_force_worst": 200, "list.serve.in_force_p50": 7, "list.serve.in_force_p99": 7,
	} {
		if got := w.figures.Series[key].Points[0].Value; got != want {
			t.Errorf("%s is %v, not %v", key, got, want)
		}
	}
}
