package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/settings"
)

// statusHeaderTimeout bounds the wait for a status request's header.
const statusHeaderTimeout = 2 * time.Second

// statusHandler serves /healthz, /readyz and /metrics.
func statusHandler(readiness *Readiness, registry *prometheus.Registry) http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(writer, "ok")
	})
	router.Get("/readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if !readiness.Ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprintln(writer, "not ready:", strings.Join(readiness.Unready(), ", "))
			return
		}
		fmt.Fprintln(writer, "ready")
	})
	router.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return router
}

// serveStatus runs the status server when the settings name an address.
func serveStatus(lifecycle fx.Lifecycle, tasks *Tasks, chosen settings.Settings, readiness *Readiness, registry *prometheus.Registry) {
	if chosen.Status == "" {
		return
	}
	server := &http.Server{Handler: statusHandler(readiness, registry), ReadHeaderTimeout: statusHeaderTimeout}
	lifecycle.Append(fx.StartStopHook(
		func() error {
			listener, err := net.Listen("tcp", chosen.Status)
			if err != nil {
				return faults.New(faults.CodeAddressInUse, "status address %s: %v", chosen.Status, err)
			}
			tasks.Go("status server", func(context.Context) error {
				if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
					return err
				}
				return nil
			})
			return nil
		},
		func(ctx context.Context) { StopServer(ctx, server) },
	))
}

// callsTimeout bounds the wait for calls under way when a server stops.
const callsTimeout = time.Second

// StopServer lets calls under way end for a second and then closes their
// connections: a caller that never sends the rest of its call must not hold up
// the stop of the process.
func StopServer(ctx context.Context, server *http.Server) {
	within, cancel := context.WithTimeout(ctx, callsTimeout)
	defer cancel()
	if server.Shutdown(within) != nil {
		_ = server.Close()
	}
}
