package process

import (
	"fmt"
	"net/http"
)

const megabyte = 1 << 20

// addFigure adds a figure to the report and prints it.
func (m *measurement) addFigure(what string, value float64, unit string) {
	f := Figure{Key: m.size.Name + "." + what, Value: value, Unit: unit}
	m.report.Figures = append(m.report.Figures, f)
	fmt.Fprintf(m.out, "%-52s %12.4g %s\n", f.Key, f.Value, f.Unit)
}

// addMemory adds a figure in MB.
func (m *measurement) addMemory(what string, bytes int64) {
	m.addFigure(what, float64(bytes)/megabyte, "MB")
}

// note adds a note on the size to the report and prints it.
func (m *measurement) note(format string, args ...any) {
	m.report.note(m.size.Name+": "+format, args...)
	fmt.Fprintf(m.out, m.size.Name+": "+format+"\n", args...)
}

// addLatency adds the latency beyond the servers' own, and notes on what makes it unreliable.
func (m *measurement) addLatency(name string, l *Load) {
	m.addFigure(name+".added_p50", float64(l.AddedLatency.ValueAtQuantile(50))/1000, "ms")
	m.addFigure(name+".added_p99", float64(l.AddedLatency.ValueAtQuantile(99))/1000, "ms")
	if l.Void {
		m.note("%s: void, the load generator was late itself by more than %v for one request in a hundred",
			name, maxGeneratorDelay)
	}
	if failed := l.Requested - l.Statuses[http.StatusOK]; failed > 0 {
		m.note("%s: %d of %d requests were not served: statuses %v, %v",
			name, failed, l.Requested, l.Statuses, l.Errors)
	}
}

// addLoadCost adds what the load cost the process. The CPU time of a request is without the process's time at rest.
func (m *measurement) addLoadCost(name string, l *Load) {
	requests := float64(max(1, l.Requested))
	m.addFigure(name+".asked", float64(l.Requested), "requests")
	m.addFigure(name+".served", float64(l.Statuses[http.StatusOK]), "requests")
	m.addFigure(name+".connections", float64(l.Connections)/requests, "new connections to servers a request")
	m.addFigure(name+".cpu", 100*l.CPU.Seconds()/l.Wall.Seconds(), "% of a core")
	ofRequests := l.CPU.Seconds() - m.restCPU*l.Wall.Seconds()
	m.addFigure(name+".cpu_per_request", 1e6*ofRequests/requests, "us")
}
