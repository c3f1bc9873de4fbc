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

// restartNeeded is the log event of a setting that changed and takes effect at the next start alone.
const restartNeeded = "changed settings need a restart"

// server is the running program: an app, and the tasks that keep it up to date.
type server struct {
	path      string               // of the program's file
	first     *files.Configuration // the version that it was started with
	memory    memoryLimit
	keys      *tlskeys.Store // nil: the file names none
	app       *app.App
	member    *fleetMember // nil: no [fleet.agree]
	listeners *app.Listeners
	log       *slog.Logger
	tasks     sync.WaitGroup // those that end with the program's context
}

// newServer makes the app, which does not listen yet.
func newServer(
	path string, first *files.Configuration, memory memoryLimit, log *slog.Logger, options serveOptions,
) (*server, error) {
	s := &server{path: path, first: first, memory: memory, log: log}
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
	return s, nil
}

// startProcessor serves the external processor, if the file has one. Its end is sent to the channel.
func (s *server) startProcessor(ctx context.Context) (ended <-chan error, err error) {
	result := make(chan error, 1)
	settings := s.first.Program.ExtProc
	if settings.Address == "" {
		return result, nil
	}
	l, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, fmt.Errorf("extproc: %w", err)
	}
	s.tasks.Go(func() {
		result <- s.app.ServeProcessor(ctx, l, s.app.NewProcessor(settings), settings)
	})
	return result, nil
}

// followConfiguration starts the tasks that apply changes of files, keys and the control plane's resources.
func (s *server) followConfiguration(ctx context.Context, watcher *files.Watcher) {
	source := app.NewSource(s.app, s.first)
	if c := app.XDSConfig(s.first.Program, s.path); c != nil {
		client := xds.New(*c, s.log)
		client.Restore(source.Deliver)
		s.tasks.Go(func() { client.Run(ctx, source.Deliver) })
	}
	s.tasks.Go(func() {
		watcher.Run(ctx, func(next *files.Configuration) { s.applyFiles(source, next) })
	})
	if s.keys != nil {
		s.tasks.Go(func() { s.keys.Run(ctx, s.first.Program.Keys.Poll) })
	}
}

// applyFiles applies a new version of the files.
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

// warnOfRestart logs the settings that differ from those of the start and that only a start applies.
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
	if next.Keys != first.Keys {
		s.log.Warn(restartNeeded, "settings", "[keys]")
	}
}

// sameName reports whether two classes have the same name.
func sameName(a, b config.Class) bool { return a.Name == b.Name }

// wait returns at the end of ctx, or with the error of a listener or of the external processor.
func (s *server) wait(ctx context.Context, processorEnded <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.listeners.Failed():
		return err
	case err := <-processorEnded:
		if ctx.Err() == nil {
			return fmt.Errorf("extproc: %w", err)
		}
		return nil
	}
}
