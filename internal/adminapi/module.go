package adminapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/auth"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/settings"
	"merlinpaddle/internal/state"
)

// RolloutReader returns the progress of the rollout of the configuration.
type RolloutReader interface {
	Rollout() model.RolloutStatus
}

// Timeouts and header size limit of the HTTP server.
const (
	readHeaderTimeout  = 5 * time.Second
	readTimeout        = 60 * time.Second
	writeTimeout       = 120 * time.Second
	idleTimeout        = 120 * time.Second
	maximumHeaderBytes = 16 << 10
)

// Module serves the administration API on the address in the setting control.api, and nothing when
// that setting is empty.
//
// It needs settings.Settings, *zap.Logger, *process.Tasks, replica.Group,
// *state.Machine and RolloutReader, and provides nothing.
func Module() fx.Option {
	return fx.Module("adminapi", fx.Invoke(serve))
}

type dependencies struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  settings.Settings
	Logger    *zap.Logger
	Tasks     *process.Tasks
	Group     replica.Group
	Machine   *state.Machine
	Rollout   RolloutReader
}

// serve creates the HTTP server and adds its start and shutdown to the application's lifecycle.
func serve(needed dependencies) error {
	chosen := needed.Settings
	if chosen.Control.API == "" {
		return nil
	}
	if err := checkSettings(chosen); err != nil {
		return err
	}
	tokens, err := auth.Open(chosen.Control.Tokens, needed.Logger)
	if err != nil {
		return err
	}
	handler := New(Options{
		Node:    model.NodeName(chosen.Node),
		Group:   needed.Group,
		Machine: needed.Machine,
		Rollout: needed.Rollout,
		Tokens:  tokens,
		Logger:  needed.Logger.Named("adminapi"),
	})
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maximumHeaderBytes,
		ErrorLog:          zap.NewStdLog(needed.Logger.Named("adminapi")),
	}
	needed.Lifecycle.Append(fx.StartStopHook(
		func() error { return start(needed, server, tokens) },
		server.Shutdown,
	))
	return nil
}

// start opens the listener, and starts the server and the watch on the token file.
func start(needed dependencies, server *http.Server, tokens *auth.File) error {
	listener, err := net.Listen("tcp", needed.Settings.Control.API)
	if err != nil {
		return faults.New(faults.CodeAddressInUse, "administration address %s: %v", needed.Settings.Control.API, err)
	}
	listener, err = wrapTLS(listener, needed.Settings.Keys)
	if err != nil {
		return err
	}
	needed.Tasks.Go("administration API", func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	needed.Tasks.Go("token file", func(ctx context.Context) error {
		return tokens.Watch(ctx, auth.DefaultReloadInterval)
	})
	return nil
}

// checkSettings refuses settings without a token file, and settings under which bearer tokens would
// cross a network in clear text: without keys the API must listen on a loopback address.
func checkSettings(chosen settings.Settings) error {
	if chosen.Control.Tokens == "" {
		return faults.New(faults.CodeSettingsInvalid, "control.tokens: the administration API needs a token file")
	}
	if chosen.Keys != "" {
		return nil
	}
	address, err := netip.ParseAddrPort(chosen.Control.API)
	if err != nil || !address.Addr().IsLoopback() {
		return faults.New(faults.CodeSettingsInvalid, "keys: without keys the administration API serves loopback addresses only, not control.api %s", chosen.Control.API)
	}
	return nil
}
