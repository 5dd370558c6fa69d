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

// steeredService is the QUIC service of the test configuration with the real
// decision makers of its agents, joined in memory.
type steeredService struct {
	now    time.Time
	stores map[model.TargetID]*rollout.Store
	owners map[model.TargetID]*flow.OwnedFlows
	agents map[model.TargetID]*steering.Steering
}

func newSteeredService(configuration *model.Configuration) *steeredService {
	created := &steeredService{
		now:    startTime.Add(time.Hour),
		stores: make(map[model.TargetID]*rollout.Store),
		owners: make(map[model.TargetID]*flow.OwnedFlows),
		agents: make(map[model.TargetID]*steering.Steering),
	}
	for _, target := range configuration.ServiceTargets(quicService) {
		store := rollout.NewStore()
		store.Advance(configuration)
		created.stores[target.ID] = store
		owners := flow.NewOwnedFlows(flow.OwnedFlowsOptions{Service: quicService, Target: target.ID, MaximumFlows: 1 << 20})
		created.owners[target.ID] = owners
		created.agents[target.ID] = steering.New(steering.Options{
			Target:         target.ID,
			Configurations: store,
			OwnedFlows:     owners,
			Load: func() model.TargetLoad {
				return model.TargetLoad{Target: target.ID, Slots: 2, Healthy: true}
			},
			Started: startTime,
		})
	}
	return created
}

// advance gives agents another configuration.
func (service *steeredService) advance(configuration *model.Configuration, targets ...model.TargetID) {
	for _, target := range targets {
		service.stores[target].Advance(configuration)
	}
}

// carry follows a forwarded packet from agent to agent, and returns the target
// that delivers it, or zero.
func (service *steeredService) carry(carried *packet.Encapsulated) (model.TargetID, steering.Decision) {
	owner, decision, _ := service.carryCounting(carried)
	return owner, decision
}

// carryCounting does what carry does, and returns the number of passes.
func (service *steeredService) carryCounting(carried *packet.Encapsulated) (model.TargetID, steering.Decision, int) {
	at := carried.Chain[carried.Position]
	input := steering.Input{
		Flow: carried.Flow, Service: carried.Service, Revision: carried.Revision, Opening: carried.Opening,
		Chain: carried.Chain, Position: int(carried.Position),
	}
	for {
		decision := service.agents[at].Decide(service.now, input)
		switch decision.Action {
		case steering.ActionDeliver:
			return at, decision, int(input.Passes)
		case steering.ActionForward:
			at = decision.Next
			input.Chain, input.Position, input.Revision = decision.Chain, decision.Position, decision.Revision
			input.Stage, input.Passes, input.PasserLoad = decision.Stage, decision.Passes, decision.PasserLoad
		default:
			return 0, decision, int(input.Passes)
		}
	}
}

func (service *steeredService) send(t *testing.T, router *Router, index *Index, source netip.AddrPort, payload []byte) model.TargetID {
	t.Helper()
	carried := ingressPacket(model.ProtocolUDP, quicAddress, payload)
	carried.Flow.Source = source
	_, verdict := router.Route(service.now, index, carried)
	require.Equal(t, VerdictForward, verdict)
	owner, _ := service.carry(carried)
	return owner
}

// drained returns the configuration after the drain of a target, by the real
// rebalancing.
func drained(configuration *model.Configuration, target model.TargetID) *model.Configuration {
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

func TestStaleHintBreaksNoFlow(t *testing.T) {
	configuration := testConfiguration()
	service := newSteeredService(configuration)
	router, limits := newTestRouter(0)
	index := newIndex(startTime, configuration, nil, limits)
	for number := range 50 {
		source := benchmarkSource(number)
		owner := service.send(t, router, index, source, quicInitial)
		require.NotZero(t, owner)
		tuple := model.FiveTuple{Protocol: model.ProtocolQUIC, Source: source, Destination: quicAddress}
		for wrong := range service.agents {
			router.cache.Insert(routing.FlowHash(tuple), tuple, wrong)
			require.Equal(t, owner, service.send(t, router, index, source, quicShort), "flow %d with a hint to %d", number, wrong)
		}
	}
}

// Balancers and agents run the configurations before and after a drain in
// every mixture. Open flows reach their owner, and an opening packet that
// arrives over two balancers opens its flow once.
func TestFlowsSurviveADrainAtUnevenRevisions(t *testing.T) {
	before := testConfiguration()
	targets := before.ServiceTargets(quicService)
	for mixture := range 1 << len(targets) {
		t.Run(fmt.Sprintf("agents %04b", mixture), func(t *testing.T) {
			service := newSteeredService(before)
			router, limits := newTestRouter(0)
			oldIndex := newIndex(startTime, before, nil, limits)
			const flows = 40
			owners := make([]model.TargetID, flows)
			for number := range owners {
				owners[number] = service.send(t, router, oldIndex, benchmarkSource(number), quicInitial)
				require.NotZero(t, owners[number])
			}
			after := drained(before, targets[0].ID)
			for place, target := range targets {
				if mixture&(1<<place) != 0 {
					service.advance(after, target.ID)
				}
			}
			newIndex := newIndex(startTime, after, oldIndex, limits)
			for number, owner := range owners {
				for _, index := range []*Index{oldIndex, newIndex} {
					require.Equal(t, owner, service.send(t, router, index, benchmarkSource(number), quicShort), "flow %d at revision %d", number, index.Revision())
				}
			}
			for number := flows; number < 2*flows; number++ {
				first := service.send(t, router, newIndex, benchmarkSource(number), quicInitial)
				second := service.send(t, router, oldIndex, benchmarkSource(number), quicInitial)
				require.NotZero(t, first)
				require.Equal(t, first, second, "flow %d opened twice", number)
			}
		})
	}
}
