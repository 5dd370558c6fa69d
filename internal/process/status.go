package process

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"merlinpaddle/internal/settings"
)

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

// serveStatus runs the status server if the settings have an address for it.
func serveStatus(lifecycle fx.Lifecycle, tasks *Tasks, chosen settings.Settings, readiness *Readiness, registry *prometheus.Registry) {
	if chosen.Status == "" {
		return
	}
	Serve(lifecycle, tasks, Endpoint{
		Name: "status server", Field: "status", Address: chosen.Status, Handler: statusHandler(readiness, registry),
	})
}
