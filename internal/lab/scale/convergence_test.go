package scale

import "testing"

// A percentile is the smallest time that the percentile's fraction of the nodes did not exceed.
func TestPercentiles(t *testing.T) {
	p := &player{rig: &rig{size: 200}, figures: &Figures{Series: map[string]*Series{}}}
	var list []float64
	for i := range 200 {
		list = append(list, float64(200-i))
	}
	p.addPercentiles(Step{Name: "list"}, "in_force", timesByRole{NodeRole: list, ServeRole: {7}})
	for key, want := range map[string]float64{
		"list.node.in_force_p50":   100,
		"list.node.in_force_p99":   198,
		"list.node.in_force_worst": 200,
		"list.serve.in_force_p50":  7,
		"list.serve.in_force_p99":  7,
	} {
		if got := p.figures.Series[key].Points[0].Value; got != want {
			t.Errorf("%s: got %v, want %v", key, got, want)
		}
	}
}
