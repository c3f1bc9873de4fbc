package policy

import "time"

// Scoring: how good an endpoint is at present, from 0 to 1. The score is the weighted sum of its success rate
// and of its latency, which counts relative to the highest latency in the subset. Both come from the
// endpoint's recent outcomes and are drawn towards the subset's means by priorOutcomes (a Bayesian average),
// so that an endpoint without outcomes stands at the means. Its inputs are the last maxOutcomes outcomes of
// each endpoint, with latencies as multiples of the unloaded latency of their requests, so that classes
// compare. Outcomes expire: an endpoint that is avoided for its score is forgotten after outcomeMaxAge and
// tried again.

const (
	// maxOutcomes is the number of outcomes by which an endpoint is scored.
	maxOutcomes = 100
	// initialOutcomes is the number of outcomes that an endpoint has space for at first; most endpoints of a
	// large fleet are used rarely.
	initialOutcomes = 4
	// outcomeMaxAge is the age at which an outcome expires.
	outcomeMaxAge = 10 * time.Second
	// priorOutcomes is the number of outcomes that the subset's means count for beside an endpoint's own.
	priorOutcomes = 3.0
	// successWeight is the weight of the success rate in the score.
	successWeight = 0.7
	// latencyWeight is the weight of the latency in the score.
	latencyWeight = 0.3
	// minHighestLatency avoids a division by 0, as a multiple of the unloaded latency.
	minHighestLatency = 1e-9
	// notRefreshed is a value of subsetHealth.refreshedAt that is no time.
	notRefreshed = time.Duration(-1)
)

// outcome is the end of an attempt, as far as it counts for the score.
type outcome struct {
	at      time.Duration
	success bool
	latency float64 // multiple of the unloaded latency
}

// outcomeWindow holds the recent outcomes of an endpoint. The zero value is empty.
type outcomeWindow struct {
	ring       []outcome // grows up to maxOutcomes
	next       int       // index in ring of the next outcome
	count      int
	successes  int
	latencySum float64 // of the successes
}

// record adds an outcome, in place of the oldest one when there are maxOutcomes.
func (w *outcomeWindow) record(now time.Duration, success bool, latency float64) {
	switch {
	case w.count < len(w.ring):
	case w.count < maxOutcomes:
		w.grow()
	default:
		w.dropOldest()
	}
	w.ring[w.next] = outcome{now, success, latency}
	w.next = (w.next + 1) % len(w.ring)
	w.count++
	if success {
		w.successes++
		w.latencySum += latency
	}
}

// at returns an outcome; 0 is the oldest.
func (w *outcomeWindow) at(i int) *outcome {
	return &w.ring[(w.next+len(w.ring)-w.count+i)%len(w.ring)]
}

// dropOldest removes the oldest outcome.
func (w *outcomeWindow) dropOldest() {
	oldest := w.at(0)
	w.count--
	if oldest.success {
		w.successes--
		w.latencySum -= oldest.latency
	}
}

// dropExpired removes the outcomes that are older than outcomeMaxAge.
func (w *outcomeWindow) dropExpired(now time.Duration) {
	for w.count > 0 && now-w.at(0).at >= outcomeMaxAge {
		w.dropOldest()
	}
}

// grow doubles the space of a ring that is full.
func (w *outcomeWindow) grow() {
	ring := make([]outcome, min(max(initialOutcomes, 2*len(w.ring)), maxOutcomes))
	for i := range w.count {
		ring[i] = *w.at(i)
	}
	w.ring, w.next = ring, w.count
}

// subsetHealth holds what is known of the subset as of the last refresh.
type subsetHealth struct {
	refreshedAt    time.Duration // or notRefreshed: the next refresh is due at any time
	previousAt     time.Duration // of the last refresh
	meanSuccess    float64       // success rate of recent outcomes, 0 to 1
	meanLatency    float64       // of recent successes, as a multiple of the unloaded latency
	closedBreakers int           // endpoints whose breaker is closed
	awaitingTrial  int           // endpoints whose breaker is half-open and that have no trial in flight
}

// refresh brings the subset, its breakers, its scores and its means up to date, once for each moment.
func (b *Balancer) refresh(now time.Duration) {
	h := &b.health
	if h.refreshedAt == now {
		return
	}
	h.refreshedAt = now
	b.updateSubset(now)
	warm := b.summarizeOutcomes(now)
	elapsed := (now - h.previousAt).Seconds()
	h.previousAt = now
	b.updateWarmWorkRate(now, warm, elapsed)
	b.concurrency.updateMean(elapsed)
	h.closedBreakers, h.awaitingTrial = 0, 0
	highest := 0.0
	for _, e := range b.subset.members {
		o := &e.outcomes
		successes := float64(o.successes)
		e.successRate = (successes + priorOutcomes*h.meanSuccess) / (float64(o.count) + priorOutcomes)
		e.latency = (o.latencySum + priorOutcomes*h.meanLatency) / (successes + priorOutcomes)
		e.breaker.halfOpenIfDue(now)
		switch {
		case e.breaker.state == breakerClosed:
			highest = max(highest, e.latency)
			h.closedBreakers++
		case e.breaker.awaitsTrial():
			h.awaitingTrial++
		}
	}
	for _, e := range b.subset.members {
		relative := e.latency / max(highest, e.latency, minHighestLatency)
		e.score = successWeight*e.successRate + latencyWeight*(1-relative)
	}
}

// summarizeOutcomes drops expired outcomes and computes the subset's means. It returns the number of warm
// endpoints whose breaker is closed.
func (b *Balancer) summarizeOutcomes(now time.Duration) (warm int) {
	count, successes, latencySum := 0, 0, 0.0
	for _, e := range b.subset.members {
		e.outcomes.dropExpired(now)
		if e.breaker.state == breakerClosed && b.capacityShare(e, now) >= 1 {
			warm++
		}
		count += e.outcomes.count
		successes += e.outcomes.successes
		latencySum += e.outcomes.latencySum
	}
	if count > 0 {
		b.health.meanSuccess = float64(successes) / float64(count)
	}
	if successes > 0 {
		b.health.meanLatency = latencySum / float64(successes)
	}
	return warm
}
