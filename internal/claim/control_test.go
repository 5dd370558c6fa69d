package claim_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/claim"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/state"
)

// These tests run several trackers against the replicated state over a network
// that loses, duplicates, delays and reorders messages, while agents freeze and
// restart.

const (
	agentCount = 3
	keyCount   = 3
	stepCount  = 400
)

// node is an agent with its tracker. It always has a relay.
type node struct {
	name        model.NodeName
	incarnation model.Incarnation
	mailbox     *protocol.Mailbox
	replies     *board.Queue[protocol.Envelope]
	tracker     *claim.Tracker
	// granted are the grants that are not used yet.
	granted     []claim.Grant
	frozenUntil time.Time
}

func (node *node) RelayName() model.NodeName { return "relay" }

// restart replaces the node's tracker, queues and grants by new ones.
func (node *node) restart(incarnation model.Incarnation) {
	node.incarnation = incarnation
	node.mailbox = protocol.NewMailbox(node.name)
	node.replies = board.NewQueue[protocol.Envelope]("replies", 1000)
	node.granted = nil
	node.tracker = claim.NewTracker(claim.Options{
		Agent: node.name, Incarnation: incarnation, Mailbox: node.mailbox, Replies: node.replies, Relay: node,
	})
}

// world is the state of one simulation run.
type world struct {
	random  *rand.Rand
	now     time.Time
	machine *state.Machine
	index   model.Revision
	nodes   []*node
	// inTransit are the messages in transit.
	inTransit []protocol.Envelope
	// lossy is set while the network loses, delays and duplicates messages.
	lossy bool
	// ran counts the actual runs of each key. recorded has the keys whose outcome
	// was reported by Record. unknownOutcome has the keys with a run that ended by
	// Forget, or with an unused grant at an agent that crashed.
	ran            map[string]int
	recorded       map[string]bool
	unknownOutcome map[string]bool
}

// newWorld returns a world whose state has the tenant and the service of the keys,
// with one target for each agent.
func newWorld(t *testing.T, seed uint64) *world {
	created := &world{
		random: rand.New(rand.NewPCG(seed, 2)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		machine: state.NewMachine(), lossy: true,
		ran: make(map[string]int), recorded: make(map[string]bool), unknownOutcome: make(map[string]bool),
	}
	var targets []state.TargetParameter
	for number := 1; number <= agentCount; number++ {
		name := fmt.Sprintf("agent-%d", number)
		targets = append(targets, state.TargetParameter{
			Name: name, Zone: "zone",
			Agent:   netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+number)),
			Backend: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(1000+number)),
		})
		started := &node{name: model.NodeName(name)}
		started.restart(model.Incarnation(number))
		created.nodes = append(created.nodes, started)
	}
	encoded, err := json.Marshal(targets)
	require.NoError(t, err)
	for _, command := range []state.Command{
		state.PutTemplate{Name: "once", Spec: state.TemplateSpec{
			Protocol: state.ProtocolNameQUIC,
			Parameters: []state.ParameterDefinition{
				{Name: "address", Kind: state.KindAddress, Sets: state.PropertyAddress, Required: true},
				{Name: "targets", Kind: state.KindTargets, Sets: state.PropertyTargets, Required: true, Maximum: json.RawMessage(`10`)},
			},
		}},
		state.PutTenant{Name: "riga"},
		state.PutService{Tenant: "riga", Name: "ledger", Template: model.TemplateReference{Name: "once"}, Parameters: []state.Parameter{
			{Name: "address", Value: json.RawMessage(`"192.0.2.1:443"`)},
			{Name: "targets", Value: encoded},
		}},
	} {
		require.NoError(t, created.apply(command).Err())
	}
	return created
}

// apply applies a command to the replicated state and returns its result.
func (world *world) apply(command state.Command) state.Result {
	encoded, err := state.EncodeCommand(command)
	if err != nil {
		panic(err)
	}
	world.index++
	result, err := state.DecodeResult(world.machine.Apply(world.index, world.now, encoded))
	if err != nil {
		panic(err)
	}
	return result
}

// deliverMessages delivers the messages in transit in random order. While lossy is set, it
// loses some, delays some and delivers some twice.
func (world *world) deliverMessages() {
	for _, node := range world.nodes {
		world.inTransit = append(world.inTransit, node.mailbox.Outbox.Drain()...)
	}
	world.random.Shuffle(len(world.inTransit), func(left, right int) {
		world.inTransit[left], world.inTransit[right] = world.inTransit[right], world.inTransit[left]
	})
	inTransit := world.inTransit
	world.inTransit = nil
	for _, envelope := range inTransit {
		fate := world.random.IntN(10)
		switch {
		case world.lossy && fate == 0:
			continue
		case world.lossy && fate <= 3:
			world.inTransit = append(world.inTransit, envelope)
			continue
		case world.lossy && fate == 4:
			world.inTransit = append(world.inTransit, envelope)
		}
		world.deliver(envelope)
	}
}

// deliver applies a message to the state, which replies, or puts a reply into the
// queue of its agent.
func (world *world) deliver(envelope protocol.Envelope) {
	var result state.Result
	switch message := envelope.Message.(type) {
	case protocol.ClaimRequest:
		result = world.apply(state.Claim{Request: message})
	case protocol.ClaimOutcome:
		result = world.apply(state.CompleteClaim{Outcome: message})
	case protocol.ClaimReply:
		for _, node := range world.nodes {
			if node.name == envelope.To {
				node.replies.Put(envelope)
			}
		}
		return
	}
	if result.Claim != nil {
		world.inTransit = append(world.inTransit, protocol.Envelope{From: "relay", To: envelope.From, Message: *result.Claim})
	}
}

func key(number int) protocol.ClaimKey {
	return protocol.ClaimKey{Tenant: "riga", Service: "ledger", Key: fmt.Sprintf("key-%d", number)}
}

// attempt claims a key at a node.
func (world *world) attempt(node *node, claimed protocol.ClaimKey) {
	node.tracker.Claim(world.now, claimed, 1, world.now.Add(3*time.Second), func(answer claim.Answer) {
		if answer.State == protocol.ClaimGranted {
			node.granted = append(node.granted, answer.Grant)
		}
	})
}

// useGrant uses the node's oldest grant as the request handler does: it checks the grant
// right before it runs the request, and then records or forgets the outcome. It releases
// the grant when it can no longer be used, and sometimes at random.
func (world *world) useGrant(node *node) {
	if len(node.granted) == 0 {
		return
	}
	grant := node.granted[0]
	node.granted = node.granted[1:]
	if !grant.Usable(world.now) || world.random.IntN(4) == 0 {
		node.tracker.Release(world.now, grant)
		return
	}
	world.ran[grant.Key.Key]++
	if world.random.IntN(3) == 0 {
		world.unknownOutcome[grant.Key.Key] = true
		node.tracker.Forget(grant)
		return
	}
	world.recorded[grant.Key.Key] = true
	node.tracker.Record(world.now, grant, protocol.ClaimOutcome{Status: 200, Body: []byte("paid")})
}

// step advances the time, lets one node claim, freeze or crash at random, delivers
// messages, and runs the nodes that are not frozen.
func (world *world) step(crashes bool) {
	world.now = world.now.Add(time.Duration(world.random.IntN(120)) * time.Millisecond)
	node := world.nodes[world.random.IntN(agentCount)]
	switch world.random.IntN(20) {
	case 0:
		node.frozenUntil = world.now.Add(time.Duration(world.random.IntN(10)) * time.Second)
	case 1:
		if crashes {
			world.crash(node)
		}
	case 2, 3, 4, 5:
		if world.now.After(node.frozenUntil) {
			world.attempt(node, key(world.random.IntN(keyCount)))
		}
	}
	world.deliverMessages()
	for _, agent := range world.nodes {
		if world.now.Before(agent.frozenUntil) {
			continue
		}
		// A node that was frozen may use an old grant before it reconciles.
		if world.random.IntN(2) == 0 {
			world.useGrant(agent)
		}
		agent.tracker.Reconcile(world.now)
	}
}

// crash restarts an agent, which loses its unused grants without releasing them.
func (world *world) crash(node *node) {
	for _, grant := range node.granted {
		world.unknownOutcome[grant.Key.Key] = true
	}
	node.restart(node.incarnation + agentCount)
}

// settle delivers every message and releases every grant that is left.
func (world *world) settle() {
	world.lossy = false
	for range 400 {
		world.now = world.now.Add(50 * time.Millisecond)
		world.deliverMessages()
		for _, node := range world.nodes {
			for len(node.granted) > 0 {
				node.tracker.Release(world.now, node.granted[0])
				node.granted = node.granted[1:]
			}
			node.tracker.Reconcile(world.now)
		}
	}
}

// finalState claims a key again as a new agent and returns the state of the reply.
func (world *world) finalState(claimed protocol.ClaimKey) protocol.ClaimState {
	result := world.apply(state.Claim{Request: protocol.ClaimRequest{
		Correlation: 1 << 40, Key: claimed, Fingerprint: 1, Agent: "agent-1", Incarnation: 1 << 40,
	}})
	return result.Claim.State
}

// check returns an error if a key ran more than once.
func (world *world) check() error {
	for number := range keyCount {
		name := key(number).Key
		if world.ran[name] > 1 {
			return fmt.Errorf("%s ran %d times", name, world.ran[name])
		}
	}
	return nil
}

// checkSettled returns an error if a safe retry was lost or a key could run again: a key
// that never ran, and has no unknown outcome, must be free; a key with a recorded outcome
// must be answered with it.
func (world *world) checkSettled(crashed bool) error {
	for number := range keyCount {
		name := key(number).Key
		final := world.finalState(key(number))
		switch {
		case world.recorded[name] && !crashed && final != protocol.ClaimCompleted:
			return fmt.Errorf("%s was recorded and is in state %d", name, final)
		case world.ran[name] == 1 && final == protocol.ClaimGranted:
			return fmt.Errorf("%s ran and was granted again", name)
		case world.ran[name] == 0 && !world.unknownOutcome[name] && !crashed && final != protocol.ClaimGranted:
			return fmt.Errorf("%s never ran and is in state %d", name, final)
		}
	}
	return nil
}

// run executes stepCount steps, checking after each, and then settles.
func (world *world) run(crashes bool) error {
	for range stepCount {
		world.step(crashes)
		if err := world.check(); err != nil {
			return err
		}
	}
	world.settle()
	if err := world.check(); err != nil {
		return err
	}
	return world.checkSettled(crashes)
}

// No key runs twice, and a key that certainly did not run can be claimed again, no matter
// which messages are lost, duplicated, delayed or reordered and when agents freeze or crash.
func TestNoKeyRunsTwice(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		t.Run(fmt.Sprintf("crashes %v", crashes), func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(20260102)
			parameters.MinSuccessfulTests = 25
			properties := gopter.NewProperties(parameters)
			properties.Property("at most one run per key, and no safe retry lost", prop.ForAll(
				func(seed uint64) (bool, error) {
					err := newWorld(t, seed).run(crashes)
					return err == nil, err
				},
				gen.UInt64(),
			))
			properties.TestingRun(t)
		})
	}
}
