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
	// readyPollInterval is the time between two looks at a process.
	readyPollInterval = 50 * time.Millisecond
	// lookTimeout bounds one request to a process.
	requestTimeout = 2 * time.Second
	// maximumAnswerBytes bounds what is read of an answer in an error.
	maximumAnswerBytes = 4 << 10
)

// machine is one entry of the platform's list.
type machine struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// WaitReady waits until each named process says that it is ready.
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

func (process Process) ready(ctx context.Context) error {
	return send(ctx, http.MethodGet, fmt.Sprintf("http://%s/readyz", process.Status), nil)
}

// Register lists the named machines with the platform, as live or leaving.
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

// Remove takes the named machines off the platform's list.
func (layout *Layout) Remove(ctx context.Context, names []string) error {
	for _, name := range names {
		if err := send(ctx, http.MethodDelete, layout.machinesURL()+"/"+name, nil); err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
	}
	return nil
}

// Misbehave makes a back end show exactly these faults.
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

// control is the body of a back end's control endpoint.
type misbehaviorRequest struct {
	Misbehavior []string `json:"misbehavior"`
}

// Impair replaces the fabric's impairments, which are in its own form.
func (layout *Layout) SetImpairments(ctx context.Context, impairments any) error {
	return send(ctx, http.MethodPut, layout.impairmentsURL(), impairments)
}

// Heal ends the fabric's impairments.
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

// send makes one HTTP request and returns an error unless it succeeded.
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
