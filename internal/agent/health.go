package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// healthTimeout bounds one health check.
	healthTimeout = time.Second
	// maximumHealthBody bounds how much of a health check's response body is
	// read, in bytes.
	maximumHealthBody = 4 << 10
)

// PollHealth checks the back end's health at the configured interval until ctx
// ends. It returns at once when no health path is configured. A recent good
// result of the agent's own requests takes precedence over these checks.
func (agent *Agent) PollHealth(ctx context.Context) error {
	if agent.settings.Agent.HealthPath == "" {
		return nil
	}
	client := newHealthClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(agent.settings.Agent.HealthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		current := agent.instance.Load()
		if current != nil && current.frontend != nil {
			current.gate.RecordHealthReport(agent.checkHealth(ctx, client))
		}
	}
}

// newHealthClient returns a client that does not follow redirects, because only
// the back end itself can report its health.
func newHealthClient() *http.Client {
	return &http.Client{
		Timeout: healthTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: healthTimeout}).DialContext, MaxIdleConns: 1},
	}
}

// checkHealth reports whether the back end answers its health path with status
// 200. An error or a timeout counts as unhealthy.
func (agent *Agent) checkHealth(ctx context.Context, client *http.Client) bool {
	url := "http://" + agent.settings.Agent.Backend + agent.settings.Agent.HealthPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maximumHealthBody))
	return response.StatusCode == http.StatusOK
}
