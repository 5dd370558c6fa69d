package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// TestLoadDigestsAreSentInServiceOrder guards the reproducibility of simulated runs. The order of
// messages determines their random delays, so sending in the order of a map would make runs with
// the same seed differ.
func TestLoadDigestsAreSentInServiceOrder(t *testing.T) {
	const services = 12
	start := time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC)
	mailbox := protocol.NewMailbox("relay-1")
	configuration := model.NewConfiguration()
	nodes := newNodeTable()
	for number := 1; number <= services; number++ {
		target := model.TargetID(number)
		configuration.Targets[target] = model.Target{ID: target, Service: model.ServiceID(number)}
		nodes.receive(start, model.NodeName(fmt.Sprintf("agent-%d", number)), protocol.Heartbeat{
			Incarnation: 1, Sequence: 1, Role: model.RoleAgent, Load: &model.TargetLoad{Target: target},
		})
	}
	newLoadAggregator(mailbox).reconcile(start, board.NewQueue[protocol.Envelope]("loads", services), configuration, nodes)
	var order []model.ServiceID
	for _, envelope := range mailbox.Outbox.Drain() {
		order = append(order, envelope.Message.(protocol.LoadDigest).Service)
	}
	require.Len(t, order, services)
	require.True(t, slices.IsSorted(order), "%v", order)
}
