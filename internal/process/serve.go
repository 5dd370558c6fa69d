package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"

	"merlinpaddle/internal/faults"
)

const (
	// headerTimeout bounds the wait for a request's header.
	headerTimeout = 2 * time.Second
	// idleTimeout is how long a connection without a request is kept: longer
	// than the time between two renewals of a target, and short enough that
	// thousands of targets which renew elsewhere hold no memory.
	idleTimeout = 8 * time.Second
	// callsTimeout bounds the wait for calls under way when a server stops.
	callsTimeout = time.Second
)

// Endpoint is a server of HTTP in a process.
type Endpoint struct {
	// Name tells the server's task from others.
	Name string
	// Field is the field of the settings that has the address.
	Field   string
	Address string
	Handler http.Handler
}

// Serve runs the endpoint from the start of the process to its stop. A stop lets
// calls under way end for a second and then closes their connections: a caller
// that never sends the rest of its call must not hold up the process.
func Serve(lifecycle fx.Lifecycle, tasks *Tasks, endpoint Endpoint) {
	server := &http.Server{Handler: endpoint.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	lifecycle.Append(fx.StartStopHook(
		func() error {
			listener, err := net.Listen("tcp", endpoint.Address)
			if err != nil {
				return faults.New(faults.CodeAddressInUse, "%s: listen on %s: %v", endpoint.Field, endpoint.Address, err)
			}
			tasks.Go(endpoint.Name, func(context.Context) error {
				if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
					return err
				}
				return nil
			})
			return nil
		},
		func(ctx context.Context) {
			within, cancel := context.WithTimeout(ctx, callsTimeout)
			defer cancel()
			if server.Shutdown(within) != nil {
				_ = server.Close()
			}
		},
	))
}
