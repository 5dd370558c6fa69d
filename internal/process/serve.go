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
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 2 * time.Second
	// idleTimeout is how long a connection without a request is kept open. It is longer than the
	// interval between two renewals of a target, so that renewals reuse connections. It is short
	// because thousands of targets that now renew elsewhere would otherwise occupy memory with idle
	// connections.
	idleTimeout = 8 * time.Second
	// shutdownTimeout bounds the wait for requests in progress when a server stops.
	shutdownTimeout = time.Second
)

// Endpoint configures an HTTP server in a process.
type Endpoint struct {
	// Name is the name of the server's task in logs.
	Name string
	// Field is the settings field that contains the address. It is named in errors.
	Field string
	// Address is the TCP address on which the server listens.
	Address string
	Handler http.Handler
}

// Serve runs the endpoint from the start of the process to its stop. A stop waits for at most
// shutdownTimeout for requests in progress and then closes their connections, so that a caller that
// never sends the rest of its request does not delay the stop.
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
			shutdownContext, cancel := context.WithTimeout(ctx, shutdownTimeout)
			defer cancel()
			if server.Shutdown(shutdownContext) != nil {
				_ = server.Close()
			}
		},
	))
}
