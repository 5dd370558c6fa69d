// Package listen runs the HTTP servers of stand-ins (substitutes for external systems) as tasks of a
// process.
package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/process"
)

// Timeouts of a stand-in's HTTP server.
const (
	// headerTimeout is the maximum time to read the headers of a request.
	headerTimeout = 5 * time.Second
	// stopTimeout is the maximum time that requests in progress get to finish when the server stops.
	stopTimeout = 5 * time.Second
)

// HTTP listens on the TCP address and serves handler in a task called name until the process stops.
// It returns an error if it cannot listen on address.
func HTTP(tasks *process.Tasks, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return faults.New(faults.CodeAddressInUse, "%s address %s: %v", name, address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	tasks.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { shutDown(server) })
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", name, err)
		}
		return nil
	})
	return nil
}

// shutDown waits for requests in progress and closes their connections after stopTimeout.
func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
