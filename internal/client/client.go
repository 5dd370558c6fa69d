// Package client is a typed client of the administration API. It finds the
// leader among the members of the control group, retries requests, which is safe
// because every change is idempotent, and reports whether a failed change may
// have been run.
package client

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Defaults of Options.
const (
	DefaultAttemptTimeout = 15 * time.Second
	DefaultRetryBudget    = 30 * time.Second
)

// Options are the settings of a Client.
type Options struct {
	// Endpoints are the base URLs of the members, such as https://10.0.0.1:7443.
	// Without a scheme, https is used. At least one is required.
	Endpoints []string
	// Token is the bearer token.
	Token string
	// Authority is a PEM file with the certificate authorities that members'
	// certificates are verified against; empty means those of the system.
	Authority string
	// ServerName is the name that the members' certificates must be valid for;
	// empty means the host of the endpoint.
	ServerName string
	// AttemptTimeout bounds one attempt; zero means DefaultAttemptTimeout.
	AttemptTimeout time.Duration
	// RetryBudget bounds all attempts of one request and the waits between them;
	// zero means DefaultRetryBudget.
	RetryBudget time.Duration
	// Transport sends the requests; nil means an HTTPS transport that uses
	// Authority and ServerName.
	Transport http.RoundTripper
	// Sleep waits between attempts; nil means a real wait. Tests replace it.
	Sleep func(ctx context.Context, wait time.Duration) error
}

// Client calls the members of one control group. It is safe for concurrent
// use.
type Client struct {
	options   Options
	transport *http.Client

	lock sync.Mutex
	// endpoints are tried in order, beginning with the preferred one.
	// preferred is the index of the endpoint at which a call last succeeded, or
	// that was last named as the leader's.
	endpoints []*endpoint
	preferred int
}

// endpoint is one member's base URL.
type endpoint struct {
	base *url.URL
	// node is the member's name; empty until it has answered.
	node model.NodeName
}

// New returns a client without sending anything. It returns an error with code
// CodeUsage when the options are invalid.
func New(options Options) (*Client, error) {
	if options.AttemptTimeout == 0 {
		options.AttemptTimeout = DefaultAttemptTimeout
	}
	if options.RetryBudget == 0 {
		options.RetryBudget = DefaultRetryBudget
	}
	if options.Sleep == nil {
		options.Sleep = sleep
	}
	client := &Client{options: options}
	for _, text := range options.Endpoints {
		base, err := parseEndpoint(text)
		if err != nil {
			return nil, err
		}
		client.endpoints = append(client.endpoints, &endpoint{base: base})
	}
	if len(client.endpoints) == 0 {
		return nil, faults.New(faults.CodeUsage, "no endpoint of a control member is configured")
	}
	transport, err := options.transport()
	if err != nil {
		return nil, err
	}
	client.transport = &http.Client{Transport: transport}
	return client, nil
}

// parseEndpoint parses an endpoint's URL, adding the scheme https if it has none.
func parseEndpoint(text string) (*url.URL, error) {
	if !strings.Contains(text, "://") {
		text = "https://" + text
	}
	base, err := url.Parse(text)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, faults.New(faults.CodeUsage, "endpoint %q is not a URL such as https://10.0.0.1:7443", text)
	}
	return base, nil
}

// transport returns the transport that the options ask for.
func (options Options) transport() (http.RoundTripper, error) {
	if options.Transport != nil {
		return options.Transport, nil
	}
	configuration := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: options.ServerName}
	if options.Authority != "" {
		content, err := os.ReadFile(options.Authority)
		if err != nil {
			return nil, faults.New(faults.CodeUsage, "certificate authority: %v", err)
		}
		configuration.RootCAs = x509.NewCertPool()
		if !configuration.RootCAs.AppendCertsFromPEM(content) {
			return nil, faults.New(faults.CodeUsage, "certificate authority %s contains no PEM certificate", options.Authority)
		}
	}
	return &http.Transport{TLSClientConfig: configuration, IdleConnTimeout: time.Minute}, nil
}

// sleep waits for the given time, or until ctx ends, which it returns as an error.
func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// chooseEndpoint returns the endpoint to try next: the preferred one, or the next
// one after it that was not tried. Each endpoint is tried before any is tried
// again, so that a member that names a failed leader does not prevent attempts at
// the others.
func (client *Client) chooseEndpoint(tried map[*endpoint]bool) *endpoint {
	client.lock.Lock()
	defer client.lock.Unlock()
	for offset := range client.endpoints {
		candidate := client.endpoints[(client.preferred+offset)%len(client.endpoints)]
		if !tried[candidate] {
			return candidate
		}
	}
	return client.endpoints[client.preferred]
}

// recordAnswer records the name of the member that answered at an endpoint. If the
// answer names a leader whose endpoint is known, that endpoint becomes the
// preferred one.
func (client *Client) recordAnswer(answered *endpoint, header http.Header, leader model.NodeName) {
	client.lock.Lock()
	defer client.lock.Unlock()
	answered.node = model.NodeName(header.Get(adminapi.HeaderNode))
	if leader == "" {
		return
	}
	for index, candidate := range client.endpoints {
		if candidate.node == leader {
			client.preferred = index
		}
	}
}

// prefer makes answered the preferred endpoint.
func (client *Client) prefer(answered *endpoint) {
	client.lock.Lock()
	defer client.lock.Unlock()
	for index, candidate := range client.endpoints {
		if candidate == answered {
			client.preferred = index
		}
	}
}
