package model

import "time"

// meterParts is how many parts of its span a workMeter counts separately.
const meterParts = 10

// workMeter sums work over the latest span, in parts of it.
type workMeter struct {
	span  time.Duration // 0: nothing is ever dropped
	parts [meterParts]time.Duration
	last  int64 // the number of the latest part; it is at last % meterParts
}

// advance clears the parts that are older than the span.
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

// add adds work.
func (m *workMeter) add(now, work time.Duration) {
	m.advance(now)
	m.parts[m.last%meterParts] += work
}

// rate returns the work per time over the span, in cores of speed 1.
func (m *workMeter) rate(now time.Duration) float64 {
	m.advance(now)
	sum := time.Duration(0)
	for _, part := range m.parts {
		sum += part
	}
	return float64(sum) / float64(max(1, m.span))
}
