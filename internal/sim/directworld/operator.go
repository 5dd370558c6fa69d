package directworld

import (
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/sim/kernel"
)

// operator declares configurations, reads them back and orders evacuations of zones. Its calls
// overlap and are retried after lost answers, as those of several operators would.
type operator struct {
	world   *World
	random  *kernel.Random
	version uint64
	// coldLimit is the limit for cold targets that every version declares for all services.
	coldLimit declared.ColdLimit
}

func newOperator(world *World) *operator {
	return &operator{world: world, random: world.run.Random("operator"), coldLimit: world.options.ColdLimit}
}

// baseConfiguration returns the services and routes that every version declares.
func (operator *operator) baseConfiguration(version uint64) *declared.Configuration {
	route := func(name string, address netip.AddrPort, kind declared.RequestKind, service string, objective time.Duration) declared.Route {
		return declared.Route{
			Name: name, Address: address, Kind: kind, Timeout: time.Second, Objective: objective,
			Pool: []declared.PoolPart{{Service: service, Weight: 1}},
		}
	}
	return &declared.Configuration{
		Version: version,
		Services: []declared.Service{
			{Name: serviceFeed, HealthPath: "/health", Cold: operator.coldLimit},
			{Name: serviceLedger, HealthPath: "/health", Cold: operator.coldLimit},
		},
		Routes: []declared.Route{
			route("feed", routeFeed, declared.KindSafe, serviceFeed, callObjective),
			route("ledger", routeLedger, declared.KindDownload, serviceLedger, callObjective),
			route("upload", routeUpload, declared.KindUpload, serviceLedger, uploadObjective),
		},
	}
}

// variedConfiguration returns the base configuration with up to five random routes that no caller
// uses.
func (operator *operator) variedConfiguration(version uint64) *declared.Configuration {
	configuration := operator.baseConfiguration(version)
	for range operator.random.IntN(6) {
		port := uint16(2000 + operator.random.IntN(30))
		address := netip.AddrPortFrom(routeFeed.Addr(), port)
		configuration.Routes = append(configuration.Routes, declared.Route{
			Name: address.String(), Address: address, Kind: declared.KindSafe,
			Timeout: time.Duration(1+operator.random.IntN(5)) * time.Second,
			Pool:    []declared.PoolPart{{Service: serviceLedger, Weight: 1}},
		})
	}
	return dropDuplicateRoutes(configuration)
}

// dropDuplicateRoutes keeps the first route of each address.
func dropDuplicateRoutes(configuration *declared.Configuration) *declared.Configuration {
	seen := make(map[netip.AddrPort]bool)
	kept := configuration.Routes[:0]
	for _, route := range configuration.Routes {
		if !seen[route.Address] {
			seen[route.Address] = true
			kept = append(kept, route)
		}
	}
	configuration.Routes = kept
	return configuration
}

// declareFirst declares the first configuration, with up to 40 attempts.
func (operator *operator) declareFirst() {
	operator.version = 1
	first := operator.baseConfiguration(1)
	operator.world.checks.configurationSent(first)
	operator.send(first, 40, 0)
}

// Declare declares a higher version with a random configuration, with up to 30 attempts.
func (operator *operator) Declare() {
	operator.version += 1 + uint64(operator.random.IntN(3))
	operator.declare(operator.variedConfiguration(operator.version))
}

// DeclareConflicting declares two random configurations under one version at the same time. They
// are sent to random members, which may be the same one.
func (operator *operator) DeclareConflicting() {
	operator.version += 1 + uint64(operator.random.IntN(3))
	operator.declare(operator.variedConfiguration(operator.version))
	operator.declare(operator.variedConfiguration(operator.version))
}

// DeclareInvalid declares an invalid configuration, which must be refused.
func (operator *operator) DeclareInvalid() {
	operator.version++
	invalid := operator.variedConfiguration(operator.version)
	switch operator.random.IntN(4) {
	case 0:
		invalid.Routes[0].Timeout = 0
	case 1:
		invalid.Routes[0].Pool[0].Service = "unknown"
	case 2:
		invalid.Routes[1].Address = invalid.Routes[0].Address
	case 3:
		invalid.Routes[0].Pool[0].Weight = 0
	}
	world := operator.world
	world.callMember(operator.endpoint(), kernel.Pick(operator.random, world.listed()),
		func(member *Member, now, deadline time.Time, done func(error)) {
			member.Registrar.Declare(now, invalid, deadline, done)
		}, func(err error) {
			if err == nil {
				world.checks.invalidAccepted(invalid)
			}
		})
}

func (operator *operator) endpoint() kernel.Endpoint { return endpoint("operator", zones[0]) }

// declare records the configuration for the checks and sends it, first to a random member.
func (operator *operator) declare(configuration *declared.Configuration) {
	operator.world.checks.configurationSent(configuration)
	operator.send(configuration, 30, operator.random.IntN(len(operator.world.listed())))
}

// send calls members in turn until one acknowledges the configuration or no attempts remain.
func (operator *operator) send(configuration *declared.Configuration, attempts, memberIndex int) {
	if attempts == 0 {
		return
	}
	world := operator.world
	world.callMember(operator.endpoint(), world.listedMember(memberIndex),
		func(member *Member, now, deadline time.Time, done func(error)) {
			member.Registrar.Declare(now, configuration, deadline, done)
		}, func(err error) {
			if err == nil {
				world.checks.configurationAcknowledged(configuration.Version)
				return
			}
			world.after(100*time.Millisecond, func() { operator.send(configuration, attempts-1, memberIndex+1) })
		})
}

// Read reads the configuration from a random member and checks the answer.
func (operator *operator) Read() {
	world := operator.world
	expected := world.checks.highestAcknowledged
	member := kernel.Pick(operator.random, world.listed())
	var configuration *declared.Configuration
	world.callMember(operator.endpoint(), member,
		func(member *Member, now, deadline time.Time, done func(error)) {
			world.options.Parts.ReadConfiguration(member, now, deadline, func(read *declared.Configuration, err error) {
				configuration = read
				done(err)
			})
		}, func(err error) {
			if err == nil {
				world.checks.checkRead(expected, configuration)
			}
		})
}

// StartOperations starts a random operation after each pause until stop is called: a valid, invalid
// or conflicting declaration, or a read.
func (operator *operator) StartOperations(pause time.Duration) (stop func()) {
	working := true
	operator.world.run.Scheduler.Every(pause, func() bool {
		if !working || operator.world.stopped {
			return false
		}
		switch operator.random.IntN(8) {
		case 0:
			operator.DeclareConflicting()
		case 1:
			operator.DeclareInvalid()
		case 2, 3, 4:
			operator.Read()
		default:
			operator.Declare()
		}
		return true
	})
	return func() { working = false }
}
