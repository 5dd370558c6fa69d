package operators

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"merlinpaddle/internal/bench/experiment"
	"merlinpaddle/internal/bench/fleet"
	"merlinpaddle/internal/settings"
)

const (
	// proxySubnet is the third octet of the proxies' address.
	proxySubnet = 90
	// readyTimeout bounds the wait until processes are ready.
	readyTimeout = 30 * time.Second
	// startTimeout bounds the start of the fleet, including the wait until its
	// configuration documents are in force.
	startTimeout = time.Minute
	// downTimeout bounds stopping the fleet.
	downTimeout = 30 * time.Second

	settingsMode = 0o644
)

// deployment is a fleet whose control links between zones can be cut.
type deployment struct {
	layout *fleet.Layout
	links  *Links
	script experiment.Script
}

// deploy renders a fleet, routes its control links through proxies, and starts
// it without callers, because only the control group is under test.
func deploy(ctx context.Context, file fleet.File, script experiment.Script) (*deployment, error) {
	if err := os.RemoveAll(script.Folder); err != nil {
		return nil, fmt.Errorf("remove the previous fleet: %w", err)
	}
	layout, err := fleet.Render(file, script.Folder)
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddr(fmt.Sprintf("%s.%d.1", file.Network, proxySubnet))
	if err != nil {
		return nil, fmt.Errorf("address of the proxies: %w", err)
	}
	deployed := &deployment{layout: layout, links: NewLinks(address), script: script}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := errors.Join(deployed.routeThroughProxies(), deployed.start(starting)); err != nil {
		return nil, errors.Join(err, deployed.down())
	}
	return deployed, nil
}

// routeThroughProxies replaces the peers' addresses in the settings of every
// process of the system by those of proxies.
func (deployment *deployment) routeThroughProxies() error {
	for _, role := range []fleet.Role{fleet.RoleControl, fleet.RoleRelay, fleet.RoleBalancer, fleet.RoleAgent} {
		for _, process := range deployment.layout.WithRole(role) {
			if err := deployment.changeSettings(process); err != nil {
				return fmt.Errorf("settings of %s: %w", process.Name, err)
			}
		}
	}
	return nil
}

// changeSettings adds a proxy for each peer of a process and rewrites the
// process's settings file.
func (deployment *deployment) changeSettings(process fleet.Process) error {
	path := fleet.SettingsPath(deployment.script.Folder, process.Name)
	loaded, err := settings.Load(path, nil)
	if err != nil {
		return err
	}
	for _, peers := range [][]settings.Peer{loaded.Control.Members, loaded.Relay.Control, loaded.Balancer.Relays, loaded.Agent.Relays} {
		for index := range peers {
			peer := &peers[index]
			if peer.Name == process.Name {
				continue
			}
			proxy, err := deployment.links.Add(process.Zone, peer.Zone, peer.Address)
			if err != nil {
				return err
			}
			peer.Address = proxy
		}
	}
	text, err := settings.Marshal(loaded)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, settingsMode)
}

// start starts the processes in the same order as "hack/fleet up".
func (deployment *deployment) start(ctx context.Context) error {
	order := []fleet.Role{fleet.RolePlatform, fleet.RoleControl, fleet.RoleRelay, fleet.RoleFabric,
		fleet.RoleBackend, fleet.RoleAgent, fleet.RoleBalancer}
	for _, role := range order {
		for _, name := range deployment.namesOf(role) {
			if err := deployment.script.Run(ctx, "start", name); err != nil {
				return err
			}
		}
		if role == fleet.RolePlatform {
			if err := deployment.ready(ctx, role); err != nil {
				return err
			}
		}
	}
	machines := append(deployment.namesOf(fleet.RoleBalancer), deployment.namesOf(fleet.RoleAgent)...)
	return inOrder(
		func() error { return deployment.layout.Register(ctx, machines, false) },
		func() error { return deployment.ready(ctx, fleet.RoleControl, fleet.RoleRelay) },
		func() error { return deployment.script.Run(ctx, "apply") },
		func() error { return deployment.ready(ctx, fleet.RoleFabric, fleet.RoleAgent, fleet.RoleBalancer) },
	)
}

// inOrder runs steps in order and returns the first error.
func inOrder(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// ready waits until the processes of the roles are ready.
func (deployment *deployment) ready(ctx context.Context, roles ...fleet.Role) error {
	var names []string
	for _, role := range roles {
		names = append(names, deployment.namesOf(role)...)
	}
	return deployment.layout.WaitReady(ctx, names, readyTimeout)
}

// namesOf returns the names of a role's processes, without standbys.
func (deployment *deployment) namesOf(role fleet.Role) []string {
	var names []string
	for _, process := range deployment.layout.WithRole(role) {
		if !process.Standby {
			names = append(names, process.Name)
		}
	}
	return names
}

// zoneOf returns the zone of a process, or "" if there is no such process.
func (deployment *deployment) zoneOf(name string) string {
	process, err := deployment.layout.Find(name)
	if err != nil {
		return ""
	}
	return process.Zone
}

// down stops the fleet and the proxies.
func (deployment *deployment) down() error {
	ctx, cancel := context.WithTimeout(context.Background(), downTimeout)
	defer cancel()
	err := deployment.script.Run(ctx, "down")
	return errors.Join(err, deployment.links.Close())
}
