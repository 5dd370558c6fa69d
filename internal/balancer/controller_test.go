package balancer

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/rollout"
)

// newTestController returns a controller with the store and the readiness that it uses.
func newTestController() (*IndexController, *rollout.Store, *process.Readiness) {
	store := rollout.NewStore()
	readiness := process.NewReadiness()
	counters := newMetrics(prometheus.NewRegistry(), flow.NewCache(1))
	return newIndexController(store, NewLimits(0), readiness, counters), store, readiness
}

func TestControllerFollowsTheConfiguration(t *testing.T) {
	controller, store, readiness := newTestController()
	controller.Reconcile(startTime)
	require.False(t, readiness.Ready(), "not ready without a configuration")
	require.Zero(t, controller.current.Load().Revision())

	store.Advance(testConfiguration())
	controller.Reconcile(startTime)
	require.True(t, readiness.Ready())
	require.EqualValues(t, 5, controller.current.Load().Revision())

	published := controller.current.Load()
	controller.Reconcile(startTime)
	require.Same(t, published, controller.current.Load(), "without a change the published index stays")
}

// revertingConfigurations is a source whose configuration a test can set back to an
// older revision, which *rollout.Store never does.
type revertingConfigurations struct{ current *model.Configuration }

func (reverting *revertingConfigurations) Current() *model.Configuration { return reverting.current }

func TestControllerIgnoresOlderConfigurations(t *testing.T) {
	controller, _, _ := newTestController()
	source := &revertingConfigurations{current: testConfiguration()}
	controller.configurations = source
	controller.Reconcile(startTime)
	older := model.NewConfiguration()
	older.Revision = 4
	source.current = older
	controller.Reconcile(startTime)
	require.EqualValues(t, 5, controller.current.Load().Revision())
}

func TestStoppingBalancerIsUnreadyAndFollowsChanges(t *testing.T) {
	controller, store, readiness := newTestController()
	store.Advance(testConfiguration())
	controller.Reconcile(startTime)
	controller.beginStop()
	require.False(t, readiness.Ready())
	next := testConfiguration()
	next.Revision = 6
	store.Advance(next)
	controller.Reconcile(startTime)
	require.False(t, readiness.Ready())
	require.EqualValues(t, 6, controller.current.Load().Revision())
}

func TestIndexKeepsTheLaterOfTwoServicesAtOneAddress(t *testing.T) {
	configuration := testConfiguration()
	addService(configuration, 9, model.ProtocolQUIC, quicAddress, 2)
	for range 20 { // Map iteration order differs each time.
		index := newIndex(startTime, configuration, nil, NewLimits(0))
		key := serviceKey{protocol: model.ProtocolUDP, destination: quicAddress}
		require.EqualValues(t, 9, index.services[key].id)
	}
}

func TestIndexOmitsServicesWithoutBuckets(t *testing.T) {
	configuration := testConfiguration()
	delete(configuration.Buckets, quicService)
	configuration.Buckets[udpService] = &model.BucketTable{Service: udpService}
	index := newIndex(startTime, configuration, nil, NewLimits(0))
	require.Len(t, index.services, 1)
}
