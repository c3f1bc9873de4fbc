package cli

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"sync"

	"yokestall/internal/app"
	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/tlskeys"
	"yokestall/internal/xds"
)

// restartNeeded is the log event for a changed setting that takes effect only when the program is restarted.
const restartNeeded = "changed settings need a restart"

// server is the running program: an app, its listeners, and the tasks that requests depend on. Its end is in shutdown.go.
type server struct {
	path      string               // path of the configuration file
	first     *files.Configuration // the configuration with which the program was started
	memory    memoryLimit
	keys      *tlskeys.Store // nil: the configuration has no keys
	app       *app.App
	member    *fleetMember // nil: the configuration has no section [fleet.agree]
	listeners *app.Listeners
	log       *slog.Logger

	processor      sync.WaitGroup // the goroutine that serves the external processor
	processorEnded chan error     // receives the result of the external processor; has capacity 1
	processorCtx   context.Context
	stopProcessor  context.CancelFunc // ends processorCtx

	// tasks counts the goroutines of the tasks. A request depends on them until its last attempt: it may go only to
	// endpoints that the latest version allows, and only under a valid lease. So the tasks end when the listeners and the
	// external processor have returned, and not when the program is told to end. The tasks are:
	//
	//   - the watcher of the configuration files, of the files in xDS form and of the tenants in them
	//   - the client of the control planes
	//   - the member of the fleet, with its lease, its RPC server and its voter
	//   - the reload of the TLS keys, which handshakes with clients and endpoints use
	//   - the server of the metrics, so that a drain can be observed
	//
	// The health of endpoints, their slow start and the engines belong to the app, which ends after the tasks.
	tasks    sync.WaitGroup
	tasksCtx context.Context
	endTasks context.CancelFunc // ends tasksCtx
}

// newServer returns a server with its app, and with its fleet member if the configuration has one. The app does not
// listen yet.
func newServer(
	path string, first *files.Configuration, memory memoryLimit, log *slog.Logger, options serveOptions,
) (*server, error) {
	s := &server{path: path, first: first, memory: memory, log: log, processorEnded: make(chan error, 1)}
	o := app.Options{Seed: rand.Uint64(), Log: log, Path: path}
	var err error
	if s.keys, err = openKeys(first.Program, path, log); err != nil {
		return nil, err
	}
	o.Keys = s.keys
	if first.Program.Agree.On() {
		s.app, s.member, err = openFleetMember(first.Program, o, options)
	} else {
		s.app, err = app.New(first, o)
	}
	if err != nil {
		return nil, err
	}
	s.listeners = s.app.NewListeners()
	s.processorCtx, s.stopProcessor = context.WithCancel(context.Background())
	s.tasksCtx, s.endTasks = context.WithCancel(context.Background())
	return s, nil
}

// start starts the fleet member, and opens the listeners, the external processor and the metrics. After an error, shutDown
// ends what was started.
func (s *server) start(watcher *files.Watcher) error {
	if s.member != nil {
		s.tasks.Go(func() { s.member.run(s.tasksCtx, s.log) })
	}
	if err := s.listeners.Apply(s.first.Program.Listeners); err != nil {
		return err
	}
	if err := s.startProcessor(); err != nil {
		return err
	}
	return s.startMetrics(watcher)
}

// startProcessor starts to serve the external processor, if one is configured.
func (s *server) startProcessor() error {
	settings := s.first.Program.ExtProc
	if settings.Address == "" {
		return nil
	}
	l, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return fmt.Errorf("extproc: %w", err)
	}
	s.processor.Go(func() {
		s.processorEnded <- s.app.ServeProcessor(s.processorCtx, l, s.app.NewProcessor(settings), settings)
	})
	return nil
}

// followConfiguration starts the tasks that apply changes of the configuration files, the keys and the control plane's
// resources.
func (s *server) followConfiguration(watcher *files.Watcher) {
	source := app.NewSource(s.app, s.first)
	if c := app.XDSConfig(s.first.Program, s.path); c != nil {
		client := xds.New(*c, s.log)
		client.Restore(source.Deliver)
		s.tasks.Go(func() { client.Run(s.tasksCtx, source.Deliver) })
	}
	s.tasks.Go(func() {
		watcher.Run(s.tasksCtx, func(next *files.Configuration) { s.applyFiles(source, next) })
	})
	if s.keys != nil {
		s.tasks.Go(func() { s.keys.Run(s.tasksCtx, s.first.Program.Keys.Poll) })
	}
}

// applyFiles applies a new version of the configuration files. It logs changed settings that need a restart. If the
// listeners can't be updated, the current listeners are kept.
func (s *server) applyFiles(source *app.Source, next *files.Configuration) {
	s.memory.set(next.Program.MemoryLimit)
	if s.member != nil {
		s.member.source.SetOwnProgram(next.Program)
	} else {
		source.SetFiles(next)
	}
	s.warnOfRestart(next.Program)
	if err := s.listeners.Apply(next.Program.Listeners); err != nil {
		s.log.Error("listener update failed, keeping the current listeners", "err", err)
	}
}

// warnOfRestart logs each group of settings that differs from the one with which the program was started and that takes
// effect only when the program is restarted.
func (s *server) warnOfRestart(next *config.Program) {
	first := s.first.Program
	if !reflect.DeepEqual(next.Agree, first.Agree) {
		s.log.Warn(restartNeeded, "settings", "[fleet.agree]")
	}
	classesChanged := len(first.XDS.Servers) > 0 && !slices.EqualFunc(next.Classes, first.Classes, sameName)
	if !reflect.DeepEqual(next.XDS, first.XDS) || classesChanged {
		s.log.Warn(restartNeeded, "settings", "[xds], or names of classes with a control plane")
	}
	if next.ExtProc != first.ExtProc {
		s.log.Warn(restartNeeded, "settings", "[extproc]")
	}
	if next.MetricsAddress != first.MetricsAddress {
		s.log.Warn(restartNeeded, "settings", "[metrics]")
	}
	if next.Keys != first.Keys {
		s.log.Warn(restartNeeded, "settings", "[keys]")
	}
}

// sameName reports whether two classes have the same name.
func sameName(a, b config.Class) bool { return a.Name == b.Name }

// wait blocks until ctx ends, or until a listener or the external processor fails. It returns the error of
// the listener or processor, and nil at the end of ctx.
func (s *server) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.listeners.Failed():
		return err
	case err := <-s.processorEnded:
		return fmt.Errorf("extproc: %w", err)
	}
}
