package operators

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"merlinpaddle/internal/bench/fleet"
	"merlinpaddle/internal/client"
)

// idleConnections is the maximum number of idle connections kept per endpoint.
const idleConnections = 64

// access has the token and the certificate authority for a fleet's
// administration API.
type access struct {
	token     string
	authority *x509.CertPool
}

func newAccess(folder string) (access, error) {
	token, err := os.ReadFile(filepath.Join(folder, fleet.TokenFile))
	if err != nil {
		return access{}, fmt.Errorf("read the operators' token: %w", err)
	}
	authority, err := os.ReadFile(filepath.Join(folder, fleet.AuthorityFile))
	if err != nil {
		return access{}, fmt.Errorf("read the fleet's authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return access{}, fmt.Errorf("%s holds no certificate", fleet.AuthorityFile)
	}
	return access{token: strings.TrimSpace(string(token)), authority: pool}, nil
}

// transport returns a new transport with its own connection pool.
func (access access) transport() http.RoundTripper {
	return &http.Transport{
		TLSClientConfig:     &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: access.authority},
		MaxIdleConnsPerHost: idleConnections,
	}
}

// client returns a client of the endpoints over transport.
func (access access) client(endpoints []string, transport http.RoundTripper, attempt, budget time.Duration) (*client.Client, error) {
	api, err := client.New(client.Options{
		Endpoints: endpoints, Token: access.token, Transport: transport, AttemptTimeout: attempt, RetryBudget: budget,
	})
	if err != nil {
		return nil, fmt.Errorf("client of the administration API: %w", err)
	}
	return api, nil
}

// lossyTransport drops some changes before they are sent and some answers to
// changes. The client sees a broken connection and retries.
type lossyTransport struct {
	http.RoundTripper
	requestShare float64
	answerShare  float64
	lost         func()
}

// RoundTrip implements http.RoundTripper.
func (transport lossyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodGet {
		return transport.RoundTripper.RoundTrip(request)
	}
	if rand.Float64() < transport.requestShare {
		transport.lost()
		return nil, io.ErrUnexpectedEOF
	}
	response, err := transport.RoundTripper.RoundTrip(request)
	if err != nil || rand.Float64() >= transport.answerShare {
		return response, err
	}
	transport.lost()
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return nil, io.ErrUnexpectedEOF
}
