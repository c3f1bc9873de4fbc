package h2flood

import "time"

// tokenBucket limits a rate. The capacity of the bucket is the number of tokens that the rate gives in BurstWindow.
type tokenBucket struct {
	rate       float64 // tokens per second
	tokens     float64 // number of tokens at the time refilledAt
	refilledAt time.Duration
}

// newTokenBucket returns a full bucket. rate is in tokens per second.
func newTokenBucket(rate int, now time.Duration) tokenBucket {
	return tokenBucket{rate: float64(rate), tokens: float64(rate) * BurstWindow.Seconds(), refilledAt: now}
}

// take refills the bucket for the time since the last refill and removes a token. It returns false if there is none.
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
