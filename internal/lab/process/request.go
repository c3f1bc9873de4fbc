package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
)

// Request is a request of the load.
type Request struct {
	Service            int
	Method, Host, Path string
	Tenant             string // "": the size has none
	Key                string // of a write
}

// Request draws request n, among the first services that are in use.
func (g *Generator) Request(n, inUse int) Request {
	rng := rand.New(rand.NewPCG(g.Seed, uint64(n)<<8|2))
	i := n % inUse
	j := rng.IntN(g.routeCount(i))
	a := Request{Service: i, Method: http.MethodGet, Host: hostName(i)}
	if g.Size.Tenants > 0 {
		a.Tenant = TenantName(rng.IntN(g.Size.Tenants))
	}
	switch g.kind(i, j) {
	case templateRoute:
		a.Path = fmt.Sprintf("/orders-%d/%d/items/%d", j, n, rng.IntN(100))
	case prefixRoute:
		a.Path = fmt.Sprintf("/files-%d/%d", j, rng.IntN(1000))
	case exactRoute:
		a.Path = fmt.Sprintf("/reports-%d/daily", j)
	case regexRoute:
		a.Path = fmt.Sprintf("/search-%d/word", j)
	case writeRoute:
		a.Method, a.Path, a.Key = http.MethodPost, fmt.Sprintf("/bookings-%d/%d", j, n), fmt.Sprintf("key-%d-%d", g.Seed, n)
	case catchAllRoute:
		a.Path = fmt.Sprintf("/else/%d", rng.IntN(1000))
	}
	return a
}

// request makes what clients send.
func (a Request) request(ctx context.Context) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Host+a.Path, nil)
	if err != nil {
		return nil, err
	}
	if a.Tenant != "" {
		q.Header.Set("X-Tenant-Id", a.Tenant)
	}
	if a.Key != "" {
		q.Header.Set("Idempotency-Key", a.Key)
	}
	return q, nil
}
