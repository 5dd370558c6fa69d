package kernel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

func constantLatency(_, _ model.ZoneName) time.Duration { return time.Millisecond }

func TestSchedulerRunsEventsInOrder(t *testing.T) {
	scheduler := NewScheduler()
	var ran []int
	scheduler.After(2*time.Second, func() { ran = append(ran, 3) })
	scheduler.After(time.Second, func() { ran = append(ran, 1) })
	scheduler.After(time.Second, func() { ran = append(ran, 2) })
	scheduler.After(time.Minute, func() { ran = append(ran, 4) })
	scheduler.RunFor(10 * time.Second)
	require.Equal(t, []int{1, 2, 3}, ran)
	require.Equal(t, 10*time.Second, scheduler.Elapsed())
}

func TestRandomStreamsAreSeededAndIndependent(t *testing.T) {
	require.Equal(t, NewRandom(7, "a").Uint64(), NewRandom(7, "a").Uint64())
	require.NotEqual(t, NewRandom(7, "a").Uint64(), NewRandom(7, "b").Uint64())
	require.NotEqual(t, NewRandom(7, "a").Uint64(), NewRandom(8, "a").Uint64())
}

func TestNetworkCuts(t *testing.T) {
	first := Endpoint{Name: "first", Zone: "zone-1"}
	second := Endpoint{Name: "second", Zone: "zone-2"}
	table := []struct {
		name          string
		cut           func(*Network) func()
		firstToSecond bool
		secondToFirst bool
		healed        bool
		faulted       LinkFaults
	}{
		{name: "none", cut: func(*Network) func() { return func() {} }, firstToSecond: true, secondToFirst: true},
		{name: "one way", cut: func(n *Network) func() { return n.CutOneWay("first", "second") }, secondToFirst: true},
		{name: "zone one way", cut: func(n *Network) func() { return n.CutZonesOneWay("zone-1", "zone-2") }, secondToFirst: true},
		{name: "zone", cut: func(n *Network) func() { return n.CutZone("zone-1", []model.ZoneName{"zone-1", "zone-2"}) }},
		{name: "isolated", cut: func(n *Network) func() { return n.Isolate("second") }},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			scheduler := NewScheduler()
			network := NewNetwork(scheduler, NewRandom(1, "network"), constantLatency)
			heal := row.cut(network)
			require.Equal(t, row.firstToSecond, arrives(scheduler, network, first, second))
			require.Equal(t, row.secondToFirst, arrives(scheduler, network, second, first))
			heal()
			heal()
			require.True(t, arrives(scheduler, network, first, second))
			require.True(t, arrives(scheduler, network, second, first))
		})
	}
}

func arrives(scheduler *Scheduler, network *Network, from, to Endpoint) bool {
	arrived := false
	network.Send(from, to, func() { arrived = true })
	scheduler.RunFor(time.Second)
	return arrived
}

func TestNetworkLossAndDuplication(t *testing.T) {
	scheduler := NewScheduler()
	network := NewNetwork(scheduler, NewRandom(1, "network"), constantLatency)
	network.SetFaults(LinkFaults{Loss: 0.2, Duplication: 0.3, Jitter: time.Millisecond})
	count := 0
	const sends = 2000
	for range sends {
		network.Send(Endpoint{Name: "a"}, Endpoint{Name: "b"}, func() { count++ })
	}
	scheduler.RunFor(time.Second)
	require.InDelta(t, sends*1.3*0.8, count, sends/10)
}

// echo is a controller that answers each ping with a pong and records its messages and run times.
type echo struct {
	mailbox  *protocol.Mailbox
	received []string
	runTimes []time.Time
}

func (*echo) Name() string { return "echo" }

func (controller *echo) Reconcile(now time.Time) {
	controller.runTimes = append(controller.runTimes, now)
	for _, envelope := range controller.mailbox.Inbox.Drain() {
		text := envelope.Message.(string)
		controller.received = append(controller.received, text)
		if text == "ping" {
			controller.mailbox.Send(envelope.From, "pong")
		}
	}
}

func newEchoHost(seed uint64) (*Host, map[model.NodeName]*echo) {
	scheduler := NewScheduler()
	network := NewNetwork(scheduler, NewRandom(seed, "network"), constantLatency)
	host := NewHost(scheduler, network, NewTrace(scheduler))
	echoes := make(map[model.NodeName]*echo)
	for _, name := range []model.NodeName{"a", "b"} {
		process := host.Add(Endpoint{Name: name}, 100*time.Millisecond, func(mailbox *protocol.Mailbox, _ model.Incarnation) Program {
			controller := &echo{mailbox: mailbox}
			echoes[name] = controller
			return Program{Mailbox: mailbox, Controllers: []board.Controller{controller}}
		})
		process.Start()
	}
	return host, echoes
}

func TestHostCarriesMessages(t *testing.T) {
	host, echoes := newEchoHost(1)
	echoes["a"].mailbox.Send("b", "ping")
	host.Scheduler.RunFor(time.Second)
	require.Equal(t, []string{"ping"}, echoes["b"].received)
	require.Equal(t, []string{"pong"}, echoes["a"].received)
}

func TestFrozenProcessSendsUnsentMessagesOnThaw(t *testing.T) {
	host, echoes := newEchoHost(1)
	host.Scheduler.RunFor(time.Second)
	echoes["a"].mailbox.Send("b", "ping")
	// The controllers ran and the outbox was drained, but its messages are not sent yet.
	host.Scheduler.RunFor(handlingDelay + handlingDelay/2)
	host.Process("a").Freeze()
	host.Scheduler.RunFor(10 * time.Second)
	require.Empty(t, echoes["b"].received)
	runs := len(echoes["a"].runTimes)
	host.Process("a").Thaw()
	host.Scheduler.RunFor(50 * time.Millisecond)
	require.Equal(t, []string{"ping"}, echoes["b"].received)
	require.Greater(t, len(echoes["a"].runTimes), runs)
}

func TestKilledProcessLosesUnsentMessages(t *testing.T) {
	host, echoes := newEchoHost(1)
	host.Scheduler.RunFor(time.Second)
	echoes["a"].mailbox.Send("b", "ping")
	host.Scheduler.RunFor(handlingDelay + handlingDelay/2)
	host.Process("a").Kill()
	host.Process("a").Start()
	host.Scheduler.RunFor(time.Second)
	require.Empty(t, echoes["b"].received)
	require.EqualValues(t, 2, host.Process("a").Incarnation())
}

func TestClockSkew(t *testing.T) {
	host, echoes := newEchoHost(1)
	process := host.Process("a")
	process.SetClock(Clock{Offset: time.Hour, Drift: 0.5})
	host.Scheduler.RunFor(10 * time.Second)
	last := echoes["a"].runTimes[len(echoes["a"].runTimes)-1]
	require.WithinDuration(t, Epoch.Add(10*time.Second), last, time.Second)
	process.Kill()
	process.Start()
	host.Scheduler.RunFor(10 * time.Second)
	last = echoes["a"].runTimes[len(echoes["a"].runTimes)-1]
	require.WithinDuration(t, Epoch.Add(time.Hour+30*time.Second), last, time.Second)
}

func TestTraceDigestCoversOrder(t *testing.T) {
	scheduler := NewScheduler()
	first, second := NewTrace(scheduler), NewTrace(scheduler)
	first.Add("a", "x", "")
	first.Add("b", "x", "")
	second.Add("b", "x", "")
	second.Add("a", "x", "")
	require.NotEqual(t, first.Digest(), second.Digest())
	for index := range 3 * maxLatestEvents {
		first.Addf("a", "n", "%d", index)
	}
	latest := first.Latest()
	require.Len(t, latest, maxLatestEvents)
	require.Equal(t, "179", latest[maxLatestEvents-1].Detail)
	require.Equal(t, "120", latest[0].Detail)
}
