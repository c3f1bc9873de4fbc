package badpeers

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/files"
	"yokestall/internal/tlskeys"
)

// Host names in the certificates of the load balancer and of the server.
const (
	frontName  = "front.test"
	serverName = "peer.test"
)

const (
	// serverAddresses is the number of addresses of the server. Each address is an endpoint.
	serverAddresses = 2

	// noneDraining is the argument of snapshot for a configuration in which no endpoint is draining.
	noneDraining = -1

	// maxIdlePerHost is the maximum number of idle connections that the transport of the clients keeps.
	maxIdlePerHost = 64
)

// deployment is a load balancer between clients and a server. The clients use one protocol, the server another or the
// same one.
type deployment struct {
	front, back webpeer.Protocol // protocols of the clients and of the server
	program     *config.Program
	app         *app.App
	listeners   *app.Listeners
	server      *webpeer.Peer
	cluster     cluster.Config // configuration without the endpoints, which snapshot adds
	addr        string         // address of the load balancer
	transport   *http.Transport
}

// deploy starts a server and a load balancer in front of that server. The method close stops both.
func (r *rig) deploy(front, back webpeer.Protocol) (d *deployment, err error) {
	d = &deployment{front: front, back: back}
	keys := r.keys.ServerConfig(tlskeys.ClientAuth{}, back.ALPN())
	if d.server, err = webpeer.Start(back, keys, serverAddresses); err != nil {
		return nil, err
	}
	if d.program, err = config.ParseProgram("abuse.toml", []byte(program)); err != nil {
		return nil, err
	}
	d.cluster = cluster.Config{
		Name: "peers", ShrinkTo: cluster.ShrinkUnspecified, Transport: cluster.Transport{HTTP2: back.HTTP2},
	}
	if back.TLS {
		d.cluster.Transport.TLS = &cluster.TLS{ServerName: serverName, Roots: "ca"}
	}
	options := app.Options{Seed: 1, Log: r.Log, Keys: r.keys}
	if d.app, err = app.New(d.snapshot(noneDraining), options); err != nil {
		return nil, err
	}
	listener := d.program.Listener
	listener.TLS = front.TLS
	d.listeners = d.app.NewListeners()
	if err := d.listeners.Apply([]config.Listener{listener}); err != nil {
		return nil, err
	}
	d.addr = d.listeners.Addr("").String()
	d.transport = &http.Transport{
		Protocols: front.HTTPProtocols(), MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true,
		TLSClientConfig: &tls.Config{RootCAs: r.authority.Pool(), ServerName: frontName},
	}
	return d, nil
}

// close stops the load balancer and its server.
func (d *deployment) close() {
	d.transport.CloseIdleConnections()
	d.listeners.Close()
	d.app.Close()
	d.server.Down()
}

// String returns both protocols, for example "http1 to http2+tls".
func (d *deployment) String() string { return d.front.String() + " to " + d.back.String() }

// snapshot returns a configuration in which the endpoint with the index draining is draining, or no endpoint if
// draining is noneDraining.
func (d *deployment) snapshot(draining int) *files.Configuration {
	c := d.cluster
	c.Endpoints = nil
	for i, addr := range d.server.Addrs {
		endpoint := cluster.Endpoint{ID: fmt.Sprint(i), Address: addr, Weight: 1}
		if i == draining {
			endpoint.Health = cluster.Draining
		}
		c.Endpoints = append(c.Endpoints, endpoint)
	}
	return &files.Configuration{
		Program: d.program,
		Version: &cluster.Version{Clusters: map[string]*cluster.Config{c.Name: &c}},
	}
}

// send sends a request through the load balancer. The instruction tells the server how to answer (see package webpeer).
func (d *deployment) send(ctx context.Context, path, instruction string, body io.Reader) (*http.Response, error) {
	scheme := "http"
	if d.front.TLS {
		scheme = "https"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+d.addr+path, body)
	if err != nil {
		panic(err) // cannot happen: the URL is constant except for the port and a valid path
	}
	request.Header.Set("X-Do", instruction)
	return d.transport.RoundTrip(request)
}
