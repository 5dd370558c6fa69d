package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

const (
	// readyPollInterval is the time between two readiness checks of a process.
	readyPollInterval = 50 * time.Millisecond
	// requestTimeout bounds one HTTP request to a process.
	requestTimeout = 2 * time.Second
	// maximumAnswerBytes is the maximum number of bytes of a response's body that an error quotes.
	maximumAnswerBytes = 4 << 10
)

// machine is one entry of the platform's machine list.
type machine struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// WaitReady waits until each named process reports that it is ready. The timeout covers the whole wait,
// not each process.
func (layout *Layout) WaitReady(ctx context.Context, names []string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, name := range names {
		process, err := layout.Find(name)
		if err != nil {
			return err
		}
		if err := waitReady(ctx, process); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(ctx context.Context, process Process) error {
	for {
		last := process.ready(ctx)
		if last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", process.Name, last)
		case <-time.After(readyPollInterval):
		}
	}
}

// ready returns nil when the process reports that it is ready.
func (process Process) ready(ctx context.Context) error {
	return send(ctx, http.MethodGet, fmt.Sprintf("http://%s/readyz", process.Status), nil)
}

// Register adds the named machines to the platform's list, as live or leaving.
func (layout *Layout) Register(ctx context.Context, names []string, leaving bool) error {
	state := "live"
	if leaving {
		state = "leaving"
	}
	for _, name := range names {
		process, err := layout.Find(name)
		if err != nil {
			return err
		}
		entry := machine{Name: name, Role: process.Role, Zone: process.Zone, Address: process.Data.String(), State: state}
		if err := send(ctx, http.MethodPost, layout.machinesURL(), entry); err != nil {
			return fmt.Errorf("register %s: %w", name, err)
		}
	}
	return nil
}

// Remove removes the named machines from the platform's list.
func (layout *Layout) Remove(ctx context.Context, names []string) error {
	for _, name := range names {
		if err := send(ctx, http.MethodDelete, layout.machinesURL()+"/"+name, nil); err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
	}
	return nil
}

// SetMisbehavior replaces the faults that a back end injects; an empty list ends them all.
func (layout *Layout) SetMisbehavior(ctx context.Context, name string, faults []string) error {
	process, err := layout.Find(name)
	if err != nil {
		return err
	}
	wanted := misbehaviorRequest{Misbehavior: append([]string{}, faults...)}
	if err := send(ctx, http.MethodPut, fmt.Sprintf("http://%s/control", process.Data), wanted); err != nil {
		return fmt.Errorf("misbehavior of %s: %w", name, err)
	}
	return nil
}

// misbehaviorRequest is the body of requests to a back end's control endpoint.
type misbehaviorRequest struct {
	Misbehavior []string `json:"misbehavior"`
}

// SetImpairments replaces the fabric's impairments, which are encoded as JSON.
func (layout *Layout) SetImpairments(ctx context.Context, impairments any) error {
	return send(ctx, http.MethodPut, layout.impairmentsURL(), impairments)
}

// ClearImpairments removes the fabric's impairments.
func (layout *Layout) ClearImpairments(ctx context.Context) error {
	return send(ctx, http.MethodDelete, layout.impairmentsURL(), nil)
}

func (layout *Layout) impairmentsURL() string {
	fabric := layout.WithRole(RoleFabric)[0]
	return fmt.Sprintf("http://%s/impairments", netip.AddrPortFrom(fabric.Machine, portFabricControl))
}

func (layout *Layout) machinesURL() string {
	return fmt.Sprintf("http://%s/machines", layout.WithRole(RolePlatform)[0].Data)
}

// send makes an HTTP request, with body as JSON unless it is nil, and returns an error for status 400
// and above.
func send(ctx context.Context, method, url string, body any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, &content)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
		return fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	return nil
}
