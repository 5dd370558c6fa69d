package fleet

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"merlinpaddle/internal/settings"
)

// callerZone names the callers in the fabric's latencies.
const callerZone = "caller"

// renderer makes the settings of a fleet's processes.
type renderer struct {
	layout *Layout
	// folder is the fleet's folder, as an absolute path.
	folder string
}

// settingsOf returns the settings of one process.
func (renderer renderer) settingsOf(process Process) settings.Settings {
	chosen := settings.Default()
	chosen.Node = process.Name
	chosen.Zone = process.Zone
	chosen.Region = renderer.layout.file.Region
	chosen.DataFolder = filepath.Join(renderer.folder, "data", process.Name)
	chosen.Status = process.Status.String()
	switch process.Role {
	case RoleControl:
		renderer.setControl(&chosen, process)
	case RoleRelay:
		chosen.Listen = netip.AddrPortFrom(process.Machine, portListen).String()
		chosen.Keys = renderer.keys(process)
		chosen.Relay.Control = peers(renderer.layout.WithRole(RoleControl))
		renderer.setInterval(&chosen.Relay.ReportInterval)
	case RoleBalancer:
		chosen.Keys = renderer.keys(process)
		chosen.Balancer.Packets = process.Data.String()
		chosen.Balancer.Relays = renderer.orderedRelays(process.Zone)
		renderer.setInterval(&chosen.Balancer.HeartbeatInterval)
	case RoleAgent:
		renderer.setAgent(&chosen, process)
	case RoleBackend:
		renderer.setBackend(&chosen, process)
	case RoleFabric:
		renderer.setFabric(&chosen, process)
	case RoleCaller:
		renderer.setCaller(&chosen, process)
	case RolePlatform:
		chosen.Platform.Listen = process.Data.String()
		chosen.Platform.Delay = renderer.layout.file.PlatformDelay
	}
	return chosen
}

// setInterval replaces a default interval when the fleet file states one.
func (renderer renderer) setInterval(interval *time.Duration) {
	if stated := renderer.layout.file.ReportInterval; stated > 0 {
		*interval = stated
	}
}

func (renderer renderer) keys(process Process) string {
	return filepath.Join(renderer.folder, keysFolder, process.Name)
}

func (renderer renderer) platformURL() string {
	return fmt.Sprintf("http://%s", renderer.layout.WithRole(RolePlatform)[0].Data)
}

func (renderer renderer) setControl(chosen *settings.Settings, process Process) {
	chosen.Listen = netip.AddrPortFrom(process.Machine, portListen).String()
	chosen.Keys = renderer.keys(process)
	chosen.Control.Members = peers(renderer.layout.WithRole(RoleControl))
	chosen.Control.API = netip.AddrPortFrom(process.Machine, portAPI).String()
	chosen.Control.Tokens = filepath.Join(renderer.folder, tokensFile)
	chosen.Control.Platform = renderer.platformURL()
}

func (renderer renderer) setAgent(chosen *settings.Settings, process Process) {
	service, _ := renderer.service(process)
	chosen.Keys = renderer.keys(process)
	chosen.Agent.Packets = process.Data.String()
	chosen.Agent.Relays = renderer.orderedRelays(process.Zone)
	chosen.Agent.Fabric = renderer.layout.WithRole(RoleFabric)[0].Data.String()
	chosen.Agent.Backend = netip.AddrPortFrom(process.Machine, portBackend).String()
	chosen.Agent.ColdStart = service.ColdStart
	renderer.setInterval(&chosen.Agent.HeartbeatInterval)
}

func (renderer renderer) setBackend(chosen *settings.Settings, process Process) {
	service, _ := renderer.service(process)
	chosen.Backend.Listen = process.Data.String()
	chosen.Backend.Slots = service.Slots
	chosen.Backend.ServiceTime = service.ServiceTime
	chosen.Backend.FeedInterval = service.FeedInterval
	chosen.Backend.ColdStart = service.ColdStart
	chosen.Backend.Ledger = filepath.Join(renderer.folder, LedgersFolder, process.Name+".jsonl")
}

func (renderer renderer) setFabric(chosen *settings.Settings, process Process) {
	file := renderer.layout.file
	for index := range file.Services {
		chosen.Fabric.Addresses = append(chosen.Fabric.Addresses, renderer.layout.VirtualAddress(index).String())
	}
	chosen.Fabric.Geneve = process.Data.String()
	chosen.Fabric.Platform = renderer.platformURL()
	chosen.Fabric.Control = netip.AddrPortFrom(process.Machine, portFabricControl).String()
	chosen.Fabric.Seed = file.Seed
	chosen.Fabric.Latencies = latencies(file)
}

// latencies lists both directions between callers and each zone, and between
// each two zones.
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

func (renderer renderer) setCaller(chosen *settings.Settings, process Process) {
	service, index := renderer.service(process)
	load := service.Load
	chosen.Caller.Address = renderer.layout.VirtualAddress(index).String()
	chosen.Caller.Source = process.Machine.String()
	chosen.Caller.CallsPerSecond = load.CallsPerSecond
	chosen.Caller.AtMostOnceFraction = load.AtMostOnceFraction
	chosen.Caller.UploadsPerSecond = load.UploadsPerSecond
	chosen.Caller.UploadBytes = load.UploadBytes
	chosen.Caller.Feeds = load.Feeds
	chosen.Caller.Connections = load.Connections
	chosen.Caller.ConnectionLifetime = load.ConnectionLifetime
	chosen.Caller.RequestTimeout = load.RequestTimeout
	chosen.Caller.Report = filepath.Join(renderer.folder, ReportsFolder, process.Name+".json")
	chosen.Caller.Seed = renderer.layout.file.Seed
}

// service returns the service of a process and its index.
func (renderer renderer) service(process Process) (Service, int) {
	for index, service := range renderer.layout.file.Services {
		if service.Name == process.Service {
			return service, index
		}
	}
	return Service{}, 0
}

// relays lists the relays of a zone first and the others after them.
func (renderer renderer) orderedRelays(zone string) []settings.Peer {
	var near, far []Process
	for _, relay := range renderer.layout.WithRole(RoleRelay) {
		if relay.Zone == zone {
			near = append(near, relay)
		} else {
			far = append(far, relay)
		}
	}
	return peers(append(near, far...))
}

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
