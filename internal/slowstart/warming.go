// Package slowstart says how much a server that has started lately may be sent by one of the nodes that share
// it, so that all of them together never push it over. It is pure: time is passed in. Work is in seconds of
// a lone request's latency on a warm server.
//
// Nobody tells what a cold server can bear. Two things are known of it: what servers bore while they were
// warm, of which it has a share that grows with its age, and what it has answered. A node may send by
// either. The first is cut into a fixed part for each node. The second needs no cutting: the nodes'
// answers add up to what the server has done, so if each node sends no more than Gain times what it was
// answered, all together send no more than Gain times what the server can do, however uneven their traffic.
package slowstart

import "time"

// Rules are the figures by which a cold server falls over.
type Rules struct {
	From     float64       // share of its capacity at its start, at least
	For      time.Duration // after which it is warm at the latest
	Multiple float64       // of its present capacity that it falls over by, sent
	Span     time.Duration // for so long
}

// Safety is the share of what the rules allow that the fixed parts add up to.
const Safety = 0.8

// burst is the part of Span that unused credit is kept for.
const burst = 1.0 / 4

// Share is the share of its capacity that a server has at least; one with no start known (0) is warm.
func (r *Rules) Share(now, started time.Duration) float64 {
	age := now - started
	if started <= 0 || age >= r.For {
		return 1
	}
	return r.From + (1-r.From)*max(0, age).Seconds()/r.For.Seconds()
}

// Gain is how much may be sent for what was answered: growth takes a quarter of the room that the rule
// leaves above a server's capacity, for what is on its way is not answered yet.
func (r *Rules) Gain() float64 { return max(1, 1+(r.Multiple-1)/4) }

// Fixed is the work a second that a node may send by its part of what a server bears when warm.
func (r *Rules) Fixed(part, share float64) float64 { return part * r.Multiple * share * Safety }

// Budget is what a node may send one server in one of its starts. The zero value is one of a server that
// was sent nothing.
type Budget struct {
	began    bool
	at       time.Duration // as of which the fixed part's credit is
	left     float64       // credit of the fixed part
	most     float64       // debt of it at most
	earned   float64       // credit of what was answered
	rate     float64       // work answered a second, lately,
	answered time.Duration // as of then
}

// Owe starts the budget with a debt: one send from each node at once could push the server over, so a node
// begins somewhere in the time that its part takes for a request.
func (b *Budget) Owe(now time.Duration, debt float64) {
	b.began, b.at, b.left = true, now, -debt
}

// Began tells whether the budget has begun.
func (b *Budget) Began() bool { return b.began }

// Left is the credit of the fixed part; negative: a debt.
func (b *Budget) Left() float64 { return b.left }

// May tells whether the server may be sent more work, while the node's fixed part is so much a second and
// so much is out there, unanswered. A server may be worse than its kind: the fixed part holds only while what is
// out stays under half of the room that the rule leaves above what the server has answered.
func (b *Budget) May(r *Rules, now time.Duration, fixed, work, out float64) bool {
	b.most = fixed * r.Span.Seconds() * burst
	b.left = min(b.left+fixed*(now-b.at).Seconds(), b.most)
	b.at = now
	return b.earned >= work || b.left > 0 && out <= work+max(0, r.Multiple-1)/2*b.proven(r, now)*r.Span.Seconds()
}

// proven is the work a second that the server has answered lately.
func (b *Budget) proven(r *Rules, now time.Duration) float64 {
	gone := (now - b.answered).Seconds() / max(r.Span.Seconds(), 1e-3)
	return b.rate / (1 + gone + gone*gone/2)
}

// Sent books work that was sent. Both credits pay for it, but neither is left with a debt beyond its burst.
func (b *Budget) Sent(work float64) {
	b.left = max(b.left-work, -b.most-work)
	b.earned = max(b.earned-work, 0)
}

// Answered books work that the server has done.
func (b *Budget) Answered(r *Rules, now time.Duration, work float64) {
	span := max(r.Span.Seconds(), 1e-3)
	b.rate = b.proven(r, now) + work/span
	b.answered = now
	b.earned = min(b.earned+r.Gain()*work, max(2*work, r.Gain()*b.rate*span*burst))
}
