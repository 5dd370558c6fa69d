package adminapi

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/auth"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/state"
)

// Timeouts of the steps of one request.
const (
	// proposeTimeout is the timeout of a commit. After it the outcome is unknown.
	proposeTimeout = 10 * time.Second
	// barrierTimeout is the timeout for confirming leadership before a read.
	barrierTimeout = 5 * time.Second
	// membershipTimeout is the timeout of a membership change or a leadership transfer.
	membershipTimeout = 30 * time.Second
)

// TokenFinder looks up bearer tokens.
type TokenFinder interface {
	// Find returns the identity of a bearer token and reports whether the token is known.
	Find(token string) (auth.Identity, bool)
}

// Options are the settings and dependencies of the API.
type Options struct {
	// Node is the name of this member.
	Node    model.NodeName
	Group   replica.Group
	Machine *state.Machine
	Rollout RolloutReader
	Tokens  TokenFinder
	Logger  *zap.Logger
	// Limits are the rate limits; the zero value means DefaultRateLimits.
	Limits RateLimits
}

// api implements the handlers of all paths.
type api struct {
	Options
	limiter *rateLimiter
}

// New returns the handler of the administration API.
func New(options Options) http.Handler {
	if options.Limits == (RateLimits{}) {
		options.Limits = DefaultRateLimits()
	}
	server := &api{Options: options, limiter: newRateLimiter(options.Limits)}
	return server.router()
}

// view returns the state that a read is answered from. The read is linearizable, unless the request
// asks for this member's own copy with ?stale=true.
func (server *api) view(request *http.Request) (*state.View, error) {
	if request.URL.Query().Get("stale") == "true" {
		return server.Machine.View(), nil
	}
	if err := server.barrier(request.Context()); err != nil {
		return nil, err
	}
	return server.Machine.View(), nil
}

// barrier waits until this member's state includes every change that was committed before the call. An
// error of the group without a code becomes CodeReadUnconfirmed.
func (server *api) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	err := server.Group.ReadBarrier(ctx)
	if err != nil && faults.CodeOf(err) == 0 {
		return faults.New(faults.CodeReadUnconfirmed, "leadership was not confirmed: %v", err)
	}
	return err
}

// propose commits the command and returns the state machine's result. An error of the group without a
// code means that the outcome is unknown.
func (server *api) propose(ctx context.Context, command state.Command) (state.Result, error) {
	encoded, err := state.EncodeCommand(command)
	if err != nil {
		return state.Result{}, faults.New(faults.CodeMalformedRequest, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer, err := server.Group.Propose(ctx, encoded)
	if err != nil {
		return state.Result{}, outcomeUnknownUnlessCoded(err)
	}
	result, err := state.DecodeResult(answer)
	if err != nil {
		return state.Result{}, faults.New(faults.CodeOutcomeUnknown, "the change is committed, but its result cannot be decoded: %v", err)
	}
	return result, nil
}

// outcomeUnknownUnlessCoded returns an error of the group that has a code unchanged, and converts any
// other one to CodeOutcomeUnknown.
func outcomeUnknownUnlessCoded(err error) error {
	if faults.CodeOf(err) != 0 {
		return err
	}
	return faults.New(faults.CodeOutcomeUnknown, "the outcome of the change is unknown: %v", err)
}
