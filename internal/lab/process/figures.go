package process

import (
	"fmt"
	"net/http"
)

const megabyte = 1 << 20

// addFigure adds a figure to the report and prints it. Its key is the size's name, a dot and name.
func (m *measurement) addFigure(name string, value float64, unit string) {
	f := Figure{Key: m.size.Name + "." + name, Value: value, Unit: unit}
	m.report.Figures = append(m.report.Figures, f)
	fmt.Fprintf(m.out, "%-52s %12.4g %s\n", f.Key, f.Value, f.Unit)
}

// addMemory adds a figure of memory, converted from bytes to MB.
func (m *measurement) addMemory(name string, bytes int64) {
	m.addFigure(name, float64(bytes)/megabyte, "MB")
}

// note adds a note to the report and prints it. The note begins with the size's name.
func (m *measurement) note(format string, args ...any) {
	m.report.note(m.size.Name+": "+format, args...)
	fmt.Fprintf(m.out, m.size.Name+": "+format+"\n", args...)
}

// addLatency adds figures of the latency that the process added to the servers' own time. It adds a note if the load generator
// was too late for valid latencies, and one if requests were not answered with status 200.
func (m *measurement) addLatency(name string, l *LoadResult) {
	m.addFigure(name+".added_p50", float64(l.AddedLatency.ValueAtQuantile(50))/1000, "ms")
	m.addFigure(name+".added_p99", float64(l.AddedLatency.ValueAtQuantile(99))/1000, "ms")
	if l.Invalid {
		m.note("%s: latencies invalid, the load generator sent one request in a hundred more than %v late",
			name, maxGeneratorDelay)
	}
	if failed := l.Requested - l.Statuses[http.StatusOK]; failed > 0 {
		m.note("%s: %d of %d requests were not answered with status 200: responses by status %v, errors %v",
			name, failed, l.Requested, l.Statuses, l.Errors)
	}
}

// addLoadCost adds figures of the requests, connections and CPU time of a load. The CPU time per request does not include the
// CPU time that the idle process uses in the same time (idleCPU).
func (m *measurement) addLoadCost(name string, l *LoadResult) {
	requests := float64(max(1, l.Requested))
	m.addFigure(name+".asked", float64(l.Requested), "requests")
	m.addFigure(name+".served", float64(l.Statuses[http.StatusOK]), "requests")
	m.addFigure(name+".connections", float64(l.Connections)/requests, "new connections to servers a request")
	m.addFigure(name+".cpu", 100*l.CPU.Seconds()/l.Wall.Seconds(), "% of a core")
	ofRequests := l.CPU.Seconds() - m.idleCPU*l.Wall.Seconds()
	m.addFigure(name+".cpu_per_request", 1e6*ofRequests/requests, "us")
}
