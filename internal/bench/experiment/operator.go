package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/bench/fleet"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// inForceTimeout bounds the wait until a change is in force, and the wait until
// processes are ready.
const inForceTimeout = 20 * time.Second

const (
	// attemptTimeout bounds one request to one control member.
	attemptTimeout = 4 * time.Second
	// rolloutAttemptWait is how long one request waits for a change to be in
	// force. It is shorter than attemptTimeout.
	rolloutAttemptWait = 2 * time.Second
)

// Operator makes changes through the administration API, as an operator's
// automation does.
type Operator struct {
	layout *fleet.Layout
	client *client.Client
}

// NewOperator returns an operator for the rendered fleet in folder.
func NewOperator(layout *fleet.Layout, folder string) (*Operator, error) {
	token, err := os.ReadFile(filepath.Join(folder, fleet.TokenFile))
	if err != nil {
		return nil, fmt.Errorf("read the operator's token: %w", err)
	}
	api, err := client.New(client.Options{
		Endpoints: layout.APIEndpoints(),
		Token:     strings.TrimSpace(string(token)),
		Authority: filepath.Join(folder, fleet.AuthorityFile),
		// A frozen member blocks an attempt until this timeout.
		AttemptTimeout: attemptTimeout,
	})
	if err != nil {
		return nil, fmt.Errorf("client of the administration API: %w", err)
	}
	return &Operator{layout: layout, client: api}, nil
}

// Drain drains a target: it receives no new flows.
func (operator *Operator) Drain(ctx context.Context, name string) error {
	return operator.changeTarget(ctx, name, operator.client.Drain)
}

// Undrain ends the drain of a target: it receives new flows again.
func (operator *Operator) Undrain(ctx context.Context, name string) error {
	return operator.changeTarget(ctx, name, operator.client.Undrain)
}

type targetChange func(ctx context.Context, key state.TargetKey, change client.Change) (adminapi.ChangeAnswer, error)

func (operator *Operator) changeTarget(ctx context.Context, name string, apply targetChange) error {
	process, err := operator.layout.Find(name)
	if err != nil {
		return err
	}
	service, err := operator.serviceKey(process.Service)
	if err != nil {
		return err
	}
	key := state.TargetKey{Tenant: service.Tenant, Service: service.Name, Name: name}
	current, err := operator.client.Target(ctx, key)
	if err != nil {
		return fmt.Errorf("read target %s: %w", name, err)
	}
	if _, err := apply(ctx, key, client.Change{Base: current.Revision}); err != nil {
		return fmt.Errorf("change target %s: %w", name, err)
	}
	return nil
}

// SetParameter changes one parameter of a service and waits until every balancer
// with a lease applies the change, or fails after inForceTimeout.
func (operator *Operator) SetParameter(ctx context.Context, service, parameter string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("value of %s: %w", parameter, err)
	}
	key, err := operator.serviceKey(service)
	if err != nil {
		return err
	}
	current, err := operator.client.Service(ctx, key)
	if err != nil {
		return fmt.Errorf("read service %s: %w", service, err)
	}
	spec := current.Spec
	spec.Parameters[parameter] = encoded
	answer, err := operator.client.PutService(ctx, key, client.Change{Base: current.Revision}, spec)
	if err != nil {
		return fmt.Errorf("change service %s: %w", service, err)
	}
	return operator.waitInForce(ctx, answer.Revision)
}

func (operator *Operator) waitInForce(ctx context.Context, revision model.Revision) error {
	deadline := time.Now().Add(inForceTimeout)
	for {
		rollout, err := operator.client.Rollout(ctx, revision, rolloutAttemptWait)
		if err != nil {
			return fmt.Errorf("wait for revision %d: %w", revision, err)
		}
		if rollout.Reached != nil && *rollout.Reached {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("revision %d is not in force after %s; in force is %d", revision, inForceTimeout, rollout.InForce)
		}
	}
}

// Leader returns the name of the control leader, or an error if there is none.
func (operator *Operator) Leader(ctx context.Context) (string, error) {
	members, err := operator.client.Members(ctx)
	if err != nil {
		return "", fmt.Errorf("read the members: %w", err)
	}
	for _, member := range members {
		if member.Leader {
			return string(member.Name), nil
		}
	}
	return "", fmt.Errorf("the control group reports no leader")
}

func (operator *Operator) serviceKey(name string) (state.ServiceKey, error) {
	for _, service := range operator.layout.File().Services {
		if service.Name == name {
			return state.ServiceKey{Tenant: model.TenantName(service.Tenant), Name: name}, nil
		}
	}
	return state.ServiceKey{}, fmt.Errorf("the fleet has no service %q", name)
}
