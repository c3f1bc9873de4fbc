package cli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"yokestall/internal/files"
)

// metricsReadTimeout is how long a client of the metrics may take for its request.
const metricsReadTimeout = 5 * time.Second

// newMetrics returns a registry with the metrics of the configuration files. status is called for each reading of them.
func newMetrics(status func() files.Status) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value func(files.Status) float64) {
		options := prometheus.GaugeOpts{Namespace: "yokestall", Subsystem: "configuration", Name: name, Help: help}
		registry.MustRegister(prometheus.NewGaugeFunc(options, func() float64 { return value(status()) }))
	}
	gauge("version", "Number of the version of the configuration files that is in force, counted from the start.",
		func(s files.Status) float64 { return float64(s.Version) })
	gauge("rejected", "1 if the configuration files are rejected and an earlier version is in force, else 0.",
		func(s files.Status) float64 {
			if s.Rejected {
				return 1
			}
			return 0
		})
	gauge("files_unverified", "Number of configuration files that are valid, but held back as not known to be complete.",
		func(s files.Status) float64 { return float64(s.UnverifiedFiles) })
	return registry
}

// startMetrics starts the task that serves the metrics at /metrics, if an address is configured.
func (s *server) startMetrics(watcher *files.Watcher) error {
	address := s.first.Program.MetricsAddress
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(newMetrics(watcher.Status), promhttp.HandlerOpts{}))
	h := &http.Server{Handler: mux, ReadTimeout: metricsReadTimeout, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)}
	s.tasks.Go(func() {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("serving metrics failed", "addr", address, "err", err)
		}
	})
	context.AfterFunc(s.tasksCtx, func() { h.Close() })
	return nil
}
