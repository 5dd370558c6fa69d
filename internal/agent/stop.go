package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
)

// drainPollInterval is how often a draining agent checks whether its work has ended.
const drainPollInterval = 50 * time.Millisecond

// Drain stops accepting new flows and waits until the open connections, requests
// (uploads and feeds included) and UDP flows have ended and all claims are
// reported, but at most for agent.stop_grace. It returns an error with code
// AgentStopGrace when some are left; the stop then cuts them off.
func (agent *Agent) Drain(ctx context.Context) error {
	agent.stopping.Store(true)
	agent.setAccepting(false)
	ctx, cancel := context.WithTimeout(ctx, agent.settings.Agent.StopGrace)
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		open := agent.remaining()
		if open.isEmpty() {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			agent.logger.Error("stopped with open flows", zap.Int("connections", open.connections),
				zap.Int("requests", open.requests), zap.Int("unreported claims", open.claims))
			return faults.New(faults.AgentStopGrace, "%d connections with %d requests and %d unreported claims were still open", open.connections, open.requests, open.claims)
		}
	}
}

// remainingWork is the work that a drain waits for.
type remainingWork struct {
	connections int
	requests    int
	// datagrams is the number of open UDP flows.
	datagrams int
	// claims is the number of claims whose end is not confirmed.
	claims int
}

func (remaining remainingWork) isEmpty() bool { return remaining == remainingWork{} }

// remaining returns the work that has not ended yet.
func (agent *Agent) remaining() remainingWork {
	var open remainingWork
	current := agent.instance.Load()
	if current == nil {
		return open
	}
	if current.frontend != nil {
		open.connections, open.requests = current.frontend.connections.counts()
	}
	if current.datagrams != nil {
		open.datagrams = current.datagrams.OpenFlows()
	}
	if tracker, ok := agent.claims.(interface{ Unreported() int }); ok {
		open.claims = tracker.Unreported()
	}
	return open
}
