package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
)

// Request is a request of the load.
type Request struct {
	Service            int // number of the service whose host gets the request
	Method, Host, Path string
	Tenant             string // name of the tenant; "" if the size has no tenants
	Key                string // idempotency key; "" if the request has none
}

// Request returns request n of the load. Successive requests are for the first inUse services in turn.
func (g *Generator) Request(n, inUse int) Request {
	rng := rand.New(rand.NewPCG(g.Seed, uint64(n)<<8|2))
	i := n % inUse
	j := rng.IntN(g.routeCount(i))
	r := Request{Service: i, Method: http.MethodGet, Host: hostName(i)}
	if g.Size.Tenants > 0 {
		r.Tenant = TenantName(rng.IntN(g.Size.Tenants))
	}
	switch g.kind(i, j) {
	case templateRoute:
		r.Path = fmt.Sprintf("/orders-%d/%d/items/%d", j, n, rng.IntN(100))
	case prefixRoute:
		r.Path = fmt.Sprintf("/files-%d/%d", j, rng.IntN(1000))
	case exactRoute:
		r.Path = fmt.Sprintf("/reports-%d/daily", j)
	case regexRoute:
		r.Path = fmt.Sprintf("/search-%d/word", j)
	case writeRoute:
		r.Method = http.MethodPost
		r.Path = fmt.Sprintf("/bookings-%d/%d", j, n)
		r.Key = fmt.Sprintf("key-%d-%d", g.Seed, n)
	case catchAllRoute:
		r.Path = fmt.Sprintf("/else/%d", rng.IntN(1000))
	}
	return r
}

// request returns the HTTP request. Its URL has the service's host, which newClient's client doesn't connect to.
func (r Request) request(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Host+r.Path, nil)
	if err != nil {
		return nil, err
	}
	if r.Tenant != "" {
		request.Header.Set("X-Tenant-Id", r.Tenant)
	}
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	return request, nil
}
