package model

import "time"

// meterParts is the number of equal parts of the span for which a workMeter counts work separately.
const meterParts = 10

// workMeter sums the work of the most recent span. The span is a sliding window that advances in parts.
type workMeter struct {
	span  time.Duration // length of the window; with 0, work is never removed
	parts [meterParts]time.Duration
	last  int64 // number of the latest part, which is stored at index last % meterParts
}

// advance clears the parts that are older than the span and makes the current part the latest one.
func (m *workMeter) advance(now time.Duration) {
	if m.span <= 0 {
		return
	}
	part := int64(now / (m.span / meterParts))
	for n := min(part-m.last, meterParts); n > 0; n-- {
		m.parts[(part-n+1)%meterParts] = 0
	}
	m.last = max(m.last, part)
}

// add adds work that arrives now.
func (m *workMeter) add(now, work time.Duration) {
	m.advance(now)
	m.parts[m.last%meterParts] += work
}

// rate returns the work of the span divided by its length, as a number of cores of speed 1.
func (m *workMeter) rate(now time.Duration) float64 {
	m.advance(now)
	sum := time.Duration(0)
	for _, part := range m.parts {
		sum += part
	}
	return float64(sum) / float64(max(1, m.span))
}
