package fleet

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"merlinpaddle/internal/settings"
)

// callerZone stands for the callers in the fabric's latencies.
const callerZone = "caller"

// renderer writes the files of a fleet.
type renderer struct {
	layout *Layout
	// folder is the fleet's folder, as an absolute path.
	folder string
}

// settingsOf returns the settings of one process.
func (renderer renderer) settingsOf(process Process) settings.Settings {
	rendered := settings.Default()
	rendered.Node = process.Name
	rendered.Zone = process.Zone
	rendered.Region = renderer.layout.file.Region
	rendered.DataFolder = filepath.Join(renderer.folder, "data", process.Name)
	rendered.Status = process.Status.String()
	switch process.Role {
	case RoleControl:
		renderer.setControl(&rendered, process)
	case RoleRelay:
		rendered.Listen = netip.AddrPortFrom(process.Machine, portListen).String()
		rendered.Keys = renderer.keys(process)
		rendered.Relay.Control = peers(renderer.layout.WithRole(RoleControl))
		renderer.setInterval(&rendered.Relay.ReportInterval)
	case RoleBalancer:
		rendered.Keys = renderer.keys(process)
		rendered.Balancer.Packets = process.Data.String()
		rendered.Balancer.Relays = renderer.orderedRelays(process.Zone)
		renderer.setInterval(&rendered.Balancer.HeartbeatInterval)
	case RoleAgent:
		renderer.setAgent(&rendered, process)
	case RoleBackend:
		renderer.setBackend(&rendered, process)
	case RoleFabric:
		renderer.setFabric(&rendered, process)
	case RoleCaller:
		renderer.setCaller(&rendered, process)
	case RolePlatform:
		rendered.Platform.Listen = process.Data.String()
		rendered.Platform.Delay = renderer.layout.file.PlatformDelay
	}
	return rendered
}

// setInterval replaces a default interval by the fleet file's report interval, if that is set.
func (renderer renderer) setInterval(interval *time.Duration) {
	if configured := renderer.layout.file.ReportInterval; configured > 0 {
		*interval = configured
	}
}

func (renderer renderer) keys(process Process) string {
	return filepath.Join(renderer.folder, keysFolder, process.Name)
}

func (renderer renderer) platformURL() string {
	return fmt.Sprintf("http://%s", renderer.layout.WithRole(RolePlatform)[0].Data)
}

func (renderer renderer) setControl(rendered *settings.Settings, process Process) {
	rendered.Listen = netip.AddrPortFrom(process.Machine, portListen).String()
	rendered.Keys = renderer.keys(process)
	rendered.Control.Members = peers(renderer.layout.WithRole(RoleControl))
	rendered.Control.API = netip.AddrPortFrom(process.Machine, portAPI).String()
	rendered.Control.Tokens = filepath.Join(renderer.folder, tokensFile)
	rendered.Control.Platform = renderer.platformURL()
}

func (renderer renderer) setAgent(rendered *settings.Settings, process Process) {
	service, _ := renderer.service(process)
	rendered.Keys = renderer.keys(process)
	rendered.Agent.Packets = process.Data.String()
	rendered.Agent.Relays = renderer.orderedRelays(process.Zone)
	rendered.Agent.Fabric = renderer.layout.WithRole(RoleFabric)[0].Data.String()
	rendered.Agent.Backend = netip.AddrPortFrom(process.Machine, portBackend).String()
	rendered.Agent.ColdStart = service.ColdStart
	renderer.setInterval(&rendered.Agent.HeartbeatInterval)
}

func (renderer renderer) setBackend(rendered *settings.Settings, process Process) {
	service, _ := renderer.service(process)
	rendered.Backend.Listen = process.Data.String()
	rendered.Backend.Slots = service.Slots
	rendered.Backend.ServiceTime = service.ServiceTime
	rendered.Backend.FeedInterval = service.FeedInterval
	rendered.Backend.ColdStart = service.ColdStart
	rendered.Backend.Ledger = filepath.Join(renderer.folder, LedgersFolder, process.Name+".jsonl")
}

func (renderer renderer) setFabric(rendered *settings.Settings, process Process) {
	file := renderer.layout.file
	for index := range file.Services {
		rendered.Fabric.Addresses = append(rendered.Fabric.Addresses, renderer.layout.VirtualAddress(index).String())
	}
	rendered.Fabric.Geneve = process.Data.String()
	rendered.Fabric.Platform = renderer.platformURL()
	rendered.Fabric.Control = netip.AddrPortFrom(process.Machine, portFabricControl).String()
	rendered.Fabric.Seed = file.Seed
	rendered.Fabric.Latencies = latencies(file)
}

// latencies returns the latencies between the callers and each zone and between any two zones, in
// both directions.
func latencies(file File) []settings.Latency {
	var all []settings.Latency
	for _, zone := range file.Zones {
		all = append(all,
			settings.Latency{From: callerZone, To: zone, Delay: file.ToCallers},
			settings.Latency{From: zone, To: callerZone, Delay: file.ToCallers})
		for _, other := range file.Zones {
			if other != zone {
				all = append(all, settings.Latency{From: zone, To: other, Delay: file.BetweenZones})
			}
		}
	}
	return all
}

func (renderer renderer) setCaller(rendered *settings.Settings, process Process) {
	service, index := renderer.service(process)
	load := service.Load
	rendered.Caller.Address = renderer.layout.VirtualAddress(index).String()
	rendered.Caller.Source = process.Machine.String()
	rendered.Caller.CallsPerSecond = load.CallsPerSecond
	rendered.Caller.AtMostOnceFraction = load.AtMostOnceFraction
	rendered.Caller.UploadsPerSecond = load.UploadsPerSecond
	rendered.Caller.UploadBytes = load.UploadBytes
	rendered.Caller.Feeds = load.Feeds
	rendered.Caller.Connections = load.Connections
	rendered.Caller.ConnectionLifetime = load.ConnectionLifetime
	rendered.Caller.RequestTimeout = load.RequestTimeout
	rendered.Caller.Report = filepath.Join(renderer.folder, ReportsFolder, process.Name+".json")
	rendered.Caller.Seed = renderer.layout.file.Seed
}

// service returns the service of a process and its index, or a zero Service and 0 when it has none.
func (renderer renderer) service(process Process) (Service, int) {
	for index, service := range renderer.layout.file.Services {
		if service.Name == process.Service {
			return service, index
		}
	}
	return Service{}, 0
}

// orderedRelays returns all relays, those of the zone first.
func (renderer renderer) orderedRelays(zone string) []settings.Peer {
	var local, remote []Process
	for _, relay := range renderer.layout.WithRole(RoleRelay) {
		if relay.Zone == zone {
			local = append(local, relay)
		} else {
			remote = append(remote, relay)
		}
	}
	return peers(append(local, remote...))
}

// peers returns the listen addresses of control members or relays.
func peers(processes []Process) []settings.Peer {
	var all []settings.Peer
	for _, process := range processes {
		all = append(all, settings.Peer{
			Name:    process.Name,
			Address: netip.AddrPortFrom(process.Machine, portListen).String(),
			Zone:    process.Zone,
		})
	}
	return all
}
