package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"yokestall/internal/app"
	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/xds"
)

// controlPlaneTimeout is the maximum wait for the first version from the control plane.
const controlPlaneTimeout = 10 * time.Second

// startProgram starts the load balancer with the configuration files. If there is a control plane, it waits for the first
// version from that. The channel served receives the result of the load balancer when it ends.
func (d *demo) startProgram(ctx context.Context, options app.Options) (served <-chan error, err error) {
	watcher, first, err := files.Open(d.settingsFile(), d.Log)
	if err != nil {
		return nil, err
	}
	if d.app, err = app.New(first, options); err != nil {
		return nil, err
	}
	d.onClose(d.app.Close)
	l, err := d.listen(first.Program.ExtProc)
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	d.onClose(parts.Wait)
	d.onClose(stop)
	ended := make(chan error, 1)
	parts.Go(func() { ended <- d.app.Serve(running, l) })
	if d.keys != nil {
		parts.Go(func() { d.keys.run(running) })
	}
	source := app.NewSource(d.app, first)
	parts.Go(func() {
		watcher.Run(running, func(v *files.Configuration) {
			source.SetFiles(v)
			d.signalVersion()
		})
	})
	fmt.Fprintf(d.Out, "%d endpoints (app boxes) behind %s; the configuration files are in %s\n", d.Endpoints, d.url, d.folder)
	if c := app.XDSConfig(first.Program, d.settingsFile()); c != nil {
		client := xds.New(*c, d.Log)
		complete := make(chan struct{})
		parts.Go(func() { d.followControlPlane(running, client, source, complete) })
		if err := d.awaitControlPlane(ctx, complete); err != nil {
			return nil, err
		}
	}
	return ended, nil
}

// listen returns the listener of the load balancer and sets the URL to which clients send requests. With Options.ExtProc,
// the URL is that of a proxy in front of the load balancer.
func (d *demo) listen(processor config.ExtProc) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.url = "http://" + l.Addr().String()
	if d.TLS {
		d.url = "https://" + l.Addr().String()
	}
	if d.ExtProc {
		if err := d.startProxy(processor); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// signalVersion signals that the load balancer has applied a version.
func (d *demo) signalVersion() {
	select {
	case d.versions <- struct{}{}:
	default:
	}
}

// followControlPlane passes versions from the control plane to source until ctx ends. It closes the channel complete once
// there are routes and clusters.
func (d *demo) followControlPlane(
	ctx context.Context, client *xds.Client, source *app.Source, complete chan<- struct{},
) {
	var once sync.Once
	client.Run(ctx, func(delivery *xds.Delivery) {
		source.Deliver(delivery)
		d.signalVersion()
		if delivery.View.Routes() != nil && len(delivery.View.Clusters()) > 0 {
			once.Do(func() { close(complete) })
		}
	})
}

// awaitControlPlane waits for the first complete version from the control plane.
func (d *demo) awaitControlPlane(ctx context.Context, complete <-chan struct{}) error {
	select {
	case <-complete:
	case <-time.After(controlPlaneTimeout):
		return errors.New("control plane sent no complete version within 10 s")
	case <-ctx.Done():
		return ctx.Err()
	}
	fmt.Fprintf(d.Out, "clusters, endpoints and routes come from a control plane at %s\n", d.plane.Addr())
	return nil
}
