package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"yokestall/internal/app"
	"yokestall/internal/config"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/controlplane"
	"yokestall/internal/files"
	"yokestall/internal/xds"
)

const (
	// defaultSlack is Options.Slack where that is 0.
	defaultSlack = 50 * time.Millisecond
	// boxDelay is the time in which a box answers.
	boxDelay = 5 * time.Millisecond
	// versionTimeout bounds the time to the control plane's first version.
	versionTimeout = 10 * time.Second
	// maxPendingVersions bounds the signals of versions that nobody waits for.
	maxPendingVersions = 1024
)

// Run runs the demo. The error says what kept it from running; rules that were broken are in the result.
//
// The program, its file watcher and its control plane client run in goroutines, which end before Run returns.
func Run(ctx context.Context, o Options) (*Result, error) {
	s := &show{
		Options: o, versions: make(chan struct{}, maxPendingVersions),
		drained: map[string]time.Time{}, strays: map[string]int{},
	}
	if s.LatenessTolerance == 0 {
		s.LatenessTolerance = defaultSlack
	}
	defer s.close()
	if err := s.startBoxes(); err != nil {
		return nil, err
	}
	options, err := s.writeSettings()
	if err != nil {
		return nil, err
	}
	served, err := s.startProgram(ctx, options)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(o.Out)
	if err := s.play(ctx); err != nil {
		return nil, err
	}
	s.check()
	s.summary()
	s.summarizeOptions()
	return &s.result, s.serveOn(ctx, served)
}

// onClose has close call a function. The functions are called in reverse order.
func (s *show) onClose(f func()) { s.closers = append(s.closers, f) }

// close ends what the demo has started.
func (s *show) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// startBoxes creates the demo's folder and starts the app boxes.
func (s *show) startBoxes() error {
	folder, err := os.MkdirTemp("", "yokestall-demo-")
	if err != nil {
		return err
	}
	s.onClose(func() { os.RemoveAll(folder) })
	s.folder = folder
	for i := range s.Endpoints {
		b, err := appbox.Start(fmt.Sprintf("box-%d", i+1))
		if err != nil {
			return err
		}
		s.onClose(b.Down)
		s.boxes = append(s.boxes, b)
		b.SetDelay(boxDelay)
	}
	return nil
}

// writeSettings writes the settings file and the first cluster file, and returns the program's options. It starts the
// control plane and makes the TLS keys where they are wanted.
func (s *show) writeSettings() (options app.Options, err error) {
	options = app.Options{Seed: 1, Log: s.Log, OnSend: s.sent}
	if err := os.Mkdir(filepath.Join(s.folder, "clusters"), 0o755); err != nil {
		return options, err
	}
	text := program
	if s.XDS {
		if s.plane, err = controlplane.Start(); err != nil {
			return options, err
		}
		s.onClose(s.plane.Down)
		text = program[:strings.Index(program, "[[class]]\nname = \"payment\"")] + fmt.Sprintf(
			"[xds]\nservers = [%q]\nnode_id = \"demo\"\nlistener = \"ingress\"\n", s.plane.Addr())
	}
	if s.TLS {
		if s.keys, err = newRotation(s.folder, s.Log); err != nil {
			return options, err
		}
		options.Keys = s.keys.store
		text = strings.Replace(text, "connections = 256\n",
			"connections = 256\ntls = true\n\n[keys]\nfolder = \"keys\"\npoll = \"50ms\"\n", 1)
	}
	if s.ExtProc {
		text = strings.Replace(text, "[limits]\n", "[extproc]\naddress = \"127.0.0.1:0\"\n\n[limits]\n", 1)
		text = strings.Replace(text, "prefix = \"/\"\n", "prefix = \"/\"\nprocessor = \"pick\"\n", 1)
	}
	if err := os.WriteFile(s.config(), []byte(text), 0o644); err != nil {
		return options, err
	}
	return options, s.write(nil)
}

// startProgram starts the program on the files, and waits for a version of the control plane if there is one. served
// receives the error with which the program has ended.
func (s *show) startProgram(ctx context.Context, options app.Options) (served <-chan error, err error) {
	watcher, first, err := files.Open(s.config(), s.Log)
	if err != nil {
		return nil, err
	}
	if s.app, err = app.New(first, options); err != nil {
		return nil, err
	}
	s.onClose(s.app.Close)
	l, err := s.listen(first.Program.ExtProc)
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	s.onClose(parts.Wait)
	s.onClose(stop)
	ended := make(chan error, 1)
	parts.Go(func() { ended <- s.app.Serve(running, l) })
	if s.keys != nil {
		parts.Go(func() { s.keys.run(running) })
	}
	source := app.NewSource(s.app, first)
	parts.Go(func() {
		watcher.Run(running, func(v *files.Snapshot) {
			source.SetFiles(v)
			s.noteVersion()
		})
	})
	fmt.Fprintf(s.Out, "%d app boxes behind %s; the files are in %s\n", s.Endpoints, s.url, s.folder)
	if c := app.XDSConfig(first.Program, s.config()); c != nil {
		client := xds.New(*c, s.Log)
		complete := make(chan struct{})
		parts.Go(func() { s.followControlPlane(running, client, source, complete) })
		if err := s.awaitControlPlane(ctx, complete); err != nil {
			return nil, err
		}
	}
	return ended, nil
}

// listen returns the program's listener and sets the address that clients use, which is a proxy's in front of the
// program if one is wanted.
func (s *show) listen(processor config.ExtProc) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.url = "http://" + l.Addr().String()
	if s.TLS {
		s.url = "https://" + l.Addr().String()
	}
	if s.ExtProc {
		end, err := s.inFront(processor)
		if err != nil {
			return nil, err
		}
		s.onClose(end)
	}
	return l, nil
}

// noteVersion signals that the program has taken a version.
func (s *show) noteVersion() {
	select {
	case s.versions <- struct{}{}:
	default:
	}
}

// followControlPlane passes on what the control plane sends until ctx ends, and closes complete once there are routes
// and clusters.
func (s *show) followControlPlane(
	ctx context.Context, client *xds.Client, source *app.Source, complete chan<- struct{},
) {
	var once sync.Once
	client.Run(ctx, func(d *xds.Delivery) {
		source.Deliver(d)
		s.noteVersion()
		if d.View.Routes() != nil && len(d.View.Clusters()) > 0 {
			once.Do(func() { close(complete) })
		}
	})
}

// awaitControlPlane waits for the control plane's first version.
func (s *show) awaitControlPlane(ctx context.Context, complete <-chan struct{}) error {
	select {
	case <-complete:
	case <-time.After(versionTimeout):
		return errors.New("no version came from the control plane in 10 s")
	case <-ctx.Done():
		return ctx.Err()
	}
	fmt.Fprintf(s.Out, "clusters, endpoints and routes come from a control plane at %s\n", s.plane.Addr())
	return nil
}

// summarizeOptions prints what the external processor and the TLS keys did.
func (s *show) summarizeOptions() {
	if n := s.processor; n != nil {
		fmt.Fprintf(s.Out, "a proxy in front asked the program about each: %d requests carried, %d picked\n",
			n.Stats.Forwarded.Load(), n.Stats.Picked.Load())
	}
	if k := s.keys; k != nil {
		fmt.Fprintf(s.Out, "%d answers over HTTP/2 and TLS; the keys were replaced %d times meanwhile\n",
			k.http2.Load(), k.store.Changes()-1)
	}
}

// serveOn leaves the program running until ctx ends, with Options.Keep. It returns the error with which the program
// ended by itself.
func (s *show) serveOn(ctx context.Context, served <-chan error) error {
	if !s.KeepServing || ctx.Err() != nil {
		fmt.Fprintln(s.Out, "\nTo leave it running: yokestall demo --keep; "+
			"it prints the curl lines to send requests with.")
		return nil
	}
	fmt.Fprintf(s.Out, "\nServing on until interrupted. Try\n    curl -i %s/hotels/7/rooms\n"+
		"    curl -i -H 'Idempotency-Key: k1' -d '{}' %s/hotels/7/bookings\n"+
		"and change the weights or the health of a box in\n    %s\n",
		s.url, s.url, filepath.Join(s.folder, "clusters", "rooms.toml"))
	select {
	case <-ctx.Done():
		return nil
	case err := <-served:
		return err
	}
}
