package policy

import "time"

// The score of an endpoint rates its recent behaviour from 0 to 1; higher is better. It is a weighted sum
// of the endpoint's success rate and of 1 minus its relative latency, which is its latency divided by the
// highest latency among the subset's endpoints with a closed breaker, or by its own if that is higher. The
// success rate and the latency come from the endpoint's recent outcomes and from the subset's means, which
// count as priorOutcomes outcomes (a Bayesian average), so that an endpoint without outcomes has the means.
// The inputs are the last maxOutcomes outcomes of each endpoint. Their latencies are multiples of the
// unloaded latency of the request, so that classes are comparable. Outcomes expire after outcomeMaxAge, so
// that an endpoint that was avoided for its low score is tried again.

const (
	// maxOutcomes is the maximum number of outcomes on which an endpoint's score is based.
	maxOutcomes = 100
	// initialOutcomes is the number of outcomes for which an endpoint first allocates space. It is small
	// because most endpoints of a large fleet are used rarely.
	initialOutcomes = 4
	// outcomeMaxAge is the age at which an outcome expires.
	outcomeMaxAge = 10 * time.Second
	// priorOutcomes is the number of outcomes as which the subset's means count in an endpoint's own means.
	priorOutcomes = 3.0
	// successWeight is the weight of the success rate in the score.
	successWeight = 0.7
	// latencyWeight is the weight of the latency in the score.
	latencyWeight = 0.3
	// minHighestLatency prevents a division by 0. It is a multiple of the unloaded latency.
	minHighestLatency = 1e-9
	// notRefreshed is the value of subsetHealth.refreshedAt that makes the next call of refresh do its work.
	notRefreshed = time.Duration(-1)
)

// outcome is the result of an attempt as it counts for the score.
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
	latencySum float64 // sum of the latencies of the successes
}

// record adds an outcome. If there are already maxOutcomes, it replaces the oldest one.
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

// removeFailure removes the latest failure that was recorded at the given time, if there is one.
func (w *outcomeWindow) removeFailure(at time.Duration) {
	for i := w.count - 1; i >= 0; i-- {
		if o := w.at(i); o.success || o.at != at {
			continue
		}
		for ; i+1 < w.count; i++ {
			*w.at(i) = *w.at(i + 1)
		}
		w.next = (w.next + len(w.ring) - 1) % len(w.ring)
		w.count--
		return
	}
}

// at returns the outcome with index i; index 0 is the oldest.
func (w *outcomeWindow) at(i int) *outcome {
	return &w.ring[(w.next+len(w.ring)-w.count+i)%len(w.ring)]
}

// dropOldest removes the oldest outcome. The window must not be empty.
func (w *outcomeWindow) dropOldest() {
	oldest := w.at(0)
	w.count--
	if oldest.success {
		w.successes--
		w.latencySum -= oldest.latency
	}
}

// dropExpired removes the outcomes whose age is outcomeMaxAge or more.
func (w *outcomeWindow) dropExpired(now time.Duration) {
	for w.count > 0 && now-w.at(0).at >= outcomeMaxAge {
		w.dropOldest()
	}
}

// grow doubles the size of a full ring, up to maxOutcomes.
func (w *outcomeWindow) grow() {
	ring := make([]outcome, min(max(initialOutcomes, 2*len(w.ring)), maxOutcomes))
	for i := range w.count {
		ring[i] = *w.at(i)
	}
	w.ring, w.next = ring, w.count
}

// subsetHealth summarizes the state of the subset as of the last refresh.
type subsetHealth struct {
	refreshedAt    time.Duration // time of the last refresh, or notRefreshed
	previousAt     time.Duration // time of the last refresh, even if refreshedAt is notRefreshed
	meanSuccess    float64       // success rate of recent outcomes, 0 to 1
	meanLatency    float64       // mean latency of recent successes, as a multiple of the unloaded latency
	closedBreakers int           // number of endpoints whose breaker is closed
	awaitingTrial  int           // number of endpoints whose breaker is half-open without a trial request
}

// refresh updates the subset, its breakers, its scores and its means. A further call at the same time does
// nothing unless refreshedAt was reset to notRefreshed.
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
