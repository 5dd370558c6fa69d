package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/rollout"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/steering"
)

// simulatedService is the QUIC service of the test configuration. Its agents make their
// decisions with the real steering code and are connected in memory.
type simulatedService struct {
	now        time.Time
	stores     map[model.TargetID]*rollout.Store
	ownedFlows map[model.TargetID]*flow.OwnedFlows
	agents     map[model.TargetID]*steering.Steering
}

func newSimulatedService(configuration *model.Configuration) *simulatedService {
	created := &simulatedService{
		now:        startTime.Add(time.Hour),
		stores:     make(map[model.TargetID]*rollout.Store),
		ownedFlows: make(map[model.TargetID]*flow.OwnedFlows),
		agents:     make(map[model.TargetID]*steering.Steering),
	}
	for _, target := range configuration.ServiceTargets(quicService) {
		store := rollout.NewStore()
		store.Advance(configuration)
		created.stores[target.ID] = store
		owned := flow.NewOwnedFlows(flow.OwnedFlowsOptions{Service: quicService, Target: target.ID, MaximumFlows: 1 << 20})
		created.ownedFlows[target.ID] = owned
		created.agents[target.ID] = steering.New(steering.Options{
			Target:         target.ID,
			Configurations: store,
			OwnedFlows:     owned,
			Load: func() model.TargetLoad {
				return model.TargetLoad{Target: target.ID, Slots: 2, Healthy: true}
			},
			Started: startTime,
		})
	}
	return created
}

// advance advances the agents of targets to another configuration.
func (service *simulatedService) advance(configuration *model.Configuration, targets ...model.TargetID) {
	for _, target := range targets {
		service.stores[target].Advance(configuration)
	}
}

// deliver follows a forwarded packet from agent to agent, and returns the target that
// delivers it, or zero, and the last decision.
func (service *simulatedService) deliver(encapsulated *packet.Encapsulated) (model.TargetID, steering.Decision) {
	owner, decision, _ := service.deliverCountingPasses(encapsulated)
	return owner, decision
}

// deliverCountingPasses does what deliver does, and also returns the number of passes
// from agent to agent.
func (service *simulatedService) deliverCountingPasses(encapsulated *packet.Encapsulated) (model.TargetID, steering.Decision, int) {
	current := encapsulated.Chain[encapsulated.Position]
	input := steering.Input{
		Flow: encapsulated.Flow, Service: encapsulated.Service, Revision: encapsulated.Revision, Opening: encapsulated.Opening,
		Chain: encapsulated.Chain, Position: int(encapsulated.Position),
	}
	for {
		decision := service.agents[current].Decide(service.now, input)
		switch decision.Action {
		case steering.ActionDeliver:
			return current, decision, int(input.Passes)
		case steering.ActionForward:
			current = decision.Next
			input.Chain, input.Position, input.Revision = decision.Chain, decision.Position, decision.Revision
			input.Stage, input.Passes, input.PasserLoad = decision.Stage, decision.Passes, decision.PasserLoad
		default:
			return 0, decision, int(input.Passes)
		}
	}
}

// send routes one packet by index, and returns the target that delivers it, or zero.
func (service *simulatedService) send(t *testing.T, router *Router, index *Index, source netip.AddrPort, payload []byte) model.TargetID {
	t.Helper()
	encapsulated := ingressPacket(model.ProtocolUDP, quicAddress, payload)
	encapsulated.Flow.Source = source
	_, verdict := router.Route(service.now, index, encapsulated)
	require.Equal(t, VerdictForward, verdict)
	owner, _ := service.deliver(encapsulated)
	return owner
}

// configurationAfterDrain returns the configuration in which a target drains and
// routing.Rebalance has moved its buckets.
func configurationAfterDrain(configuration *model.Configuration, target model.TargetID) *model.Configuration {
	next := testConfiguration()
	next.Revision = configuration.Revision + 1
	leaving := next.Targets[target]
	leaving.Phase = model.PhaseDraining
	next.Targets[target] = leaving
	table := configuration.Buckets[quicService].Clone()
	for _, row := range routing.Rebalance(table, next.ServiceTargets(quicService), next.Revision) {
		table.Set(row)
	}
	next.Buckets[quicService] = table
	return next
}

// A wrong entry in the flow cache must not make a packet reach another target than the
// flow's owner.
func TestStaleHintBreaksNoFlow(t *testing.T) {
	configuration := testConfiguration()
	service := newSimulatedService(configuration)
	router, limits := newTestRouter(0)
	index := newIndex(startTime, configuration, nil, limits)
	for number := range 50 {
		source := benchmarkSource(number)
		owner := service.send(t, router, index, source, quicInitial)
		require.NotZero(t, owner)
		tuple := model.FiveTuple{Protocol: model.ProtocolQUIC, Source: source, Destination: quicAddress}
		for hinted := range service.agents {
			router.cache.Insert(routing.FlowHash(tuple), tuple, hinted)
			require.Equal(t, owner, service.send(t, router, index, source, quicShort), "flow %d with a hint to %d", number, hinted)
		}
	}
}

// Balancers and agents run the configurations before and after a drain in every
// combination. Packets of open flows must reach their owner, and an opening packet that
// arrives through two balancers must open its flow at one target only.
func TestFlowsSurviveADrainAtMixedRevisions(t *testing.T) {
	before := testConfiguration()
	targets := before.ServiceTargets(quicService)
	for mixture := range 1 << len(targets) {
		t.Run(fmt.Sprintf("agents %04b", mixture), func(t *testing.T) {
			service := newSimulatedService(before)
			router, limits := newTestRouter(0)
			oldIndex := newIndex(startTime, before, nil, limits)
			const flows = 40
			owners := make([]model.TargetID, flows)
			for number := range owners {
				owners[number] = service.send(t, router, oldIndex, benchmarkSource(number), quicInitial)
				require.NotZero(t, owners[number])
			}
			after := configurationAfterDrain(before, targets[0].ID)
			for position, target := range targets {
				if mixture&(1<<position) != 0 {
					service.advance(after, target.ID)
				}
			}
			updatedIndex := newIndex(startTime, after, oldIndex, limits)
			for number, owner := range owners {
				for _, index := range []*Index{oldIndex, updatedIndex} {
					require.Equal(t, owner, service.send(t, router, index, benchmarkSource(number), quicShort), "flow %d at revision %d", number, index.Revision())
				}
			}
			for number := flows; number < 2*flows; number++ {
				first := service.send(t, router, updatedIndex, benchmarkSource(number), quicInitial)
				second := service.send(t, router, oldIndex, benchmarkSource(number), quicInitial)
				require.NotZero(t, first)
				require.Equal(t, first, second, "flow %d opened twice", number)
			}
		})
	}
}
