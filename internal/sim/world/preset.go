package world

import (
	"fmt"
	"time"

	"merlinpaddle/internal/model"
)

// ServiceSize describes one service of a preset and its number of targets.
type ServiceSize struct {
	Tenant   model.TenantName
	Name     string
	Protocol model.Protocol
	Targets  int
}

// Preset is the size and layout of a simulated world.
type Preset struct {
	Name  string
	Zones []model.ZoneName
	// InterZoneDelay is the one-way delay between two zones.
	InterZoneDelay time.Duration
	// IntraZoneDelay is the one-way delay inside a zone.
	IntraZoneDelay time.Duration
	// CallerDelay is the one-way delay between callers or operators and any zone.
	CallerDelay time.Duration
	Services    []ServiceSize
	// Slots is the number of requests that a back end runs concurrently.
	Slots     int
	Members   int
	Relays    int
	Balancers int
}

// callerZone is the zone of all callers and operators. Scenarios never partition it.
const callerZone model.ZoneName = "callers"

// Metro returns the preset of three zones close to each other, with a service of 14 targets and one
// of 4.
func Metro() Preset {
	return Preset{
		Name:           "metro",
		Zones:          []model.ZoneName{"metro-1", "metro-2", "metro-3"},
		InterZoneDelay: 500 * time.Microsecond,
		IntraZoneDelay: 100 * time.Microsecond,
		CallerDelay:    time.Millisecond,
		Services: []ServiceSize{
			{Tenant: "payments", Name: "feeds", Protocol: model.ProtocolQUIC, Targets: 14},
			{Tenant: "archive", Name: "ledger", Protocol: model.ProtocolTCP, Targets: 4},
		},
		Slots:     2,
		Members:   3,
		Relays:    3,
		Balancers: 6,
	}
}

// Coastal returns the preset of three zones farther apart, with a service of 14 targets and one of 4.
func Coastal() Preset {
	preset := Metro()
	preset.Name = "coastal"
	preset.Zones = []model.ZoneName{"coast-a", "coast-b", "coast-c"}
	preset.InterZoneDelay = 1500 * time.Microsecond
	preset.Services = []ServiceSize{
		{Tenant: "bookings", Name: "core", Protocol: model.ProtocolQUIC, Targets: 14},
		{Tenant: "media", Name: "photos", Protocol: model.ProtocolQUIC, Targets: 4},
	}
	return preset
}

// Small returns a preset for scenarios that only concern the control members.
func Small() Preset {
	preset := Metro()
	preset.Name = "small"
	preset.Services = []ServiceSize{{Tenant: "payments", Name: "feeds", Protocol: model.ProtocolQUIC, Targets: 3}}
	preset.Balancers = 3
	return preset
}

// Latency returns the preset's one-way delays.
func (preset Preset) Latency() func(from, to model.ZoneName) time.Duration {
	return func(from, to model.ZoneName) time.Duration {
		switch {
		case from == callerZone || to == callerZone:
			return preset.CallerDelay
		case from == to:
			return preset.IntraZoneDelay
		default:
			return preset.InterZoneDelay
		}
	}
}

// zone returns the zone of a numbered process. Successive numbers take the zones in turn.
func (preset Preset) zone(number int) model.ZoneName { return preset.Zones[number%len(preset.Zones)] }

// numberedName returns a node name such as control-1.
func numberedName(prefix string, number int) model.NodeName {
	return model.NodeName(fmt.Sprintf("%s-%d", prefix, number))
}
