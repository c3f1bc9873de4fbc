package h2flood

import "time"

// tokenBucket limits a rate; up to BurstWindow of it may come at once.
type tokenBucket struct {
	rate       float64 // tokens a second
	tokens     float64 // available at refilledAt
	refilledAt time.Duration
}

// newTokenBucket returns a full bucket; rate is in tokens a second.
func newTokenBucket(rate int, now time.Duration) tokenBucket {
	return tokenBucket{rate: float64(rate), tokens: float64(rate) * BurstWindow.Seconds(), refilledAt: now}
}

// take takes a token if there is one.
func (b *tokenBucket) take(now time.Duration) bool {
	if now > b.refilledAt {
		b.tokens = min(b.rate*BurstWindow.Seconds(), b.tokens+b.rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
