package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// testSource is a source whose configuration a test advances from revision to revision.
type testSource struct{ receiver *Receiver }

func newTestSource() *testSource { return &testSource{receiver: NewReceiver(&History{})} }

func (source *testSource) Current() *model.Configuration { return source.receiver.Current() }

func (source *testSource) DeltasSince(revision model.Revision) ([]model.Delta, bool) {
	return source.receiver.DeltasSince(revision)
}

// addRevision adds one revision that changes one service.
func (source *testSource) addRevision() {
	from := source.receiver.Current().Revision
	source.receiver.ApplyDeltas([]model.Delta{{From: from, To: from + 1, Services: []model.Service{{ID: 1, Limits: model.DefaultLimits()}}}})
}

// updatesSentTo returns the updates sent to one subscriber since the last call, and drops the
// updates to other subscribers.
func updatesSentTo(t *testing.T, mailbox *protocol.Mailbox, decoder *protocol.UpdateDecoder, name model.NodeName) []protocol.Update {
	t.Helper()
	var updates []protocol.Update
	for _, envelope := range mailbox.Outbox.Drain() {
		if envelope.To != name {
			continue
		}
		update, err := decoder.Decode(envelope.Message.(protocol.PackedUpdate))
		require.NoError(t, err)
		updates = append(updates, update)
	}
	return updates
}

func TestUnresponsiveSubscriberIsSentNothingUntilItConfirmsAgain(t *testing.T) {
	source := newTestSource()
	mailbox := protocol.NewMailbox("relay-1")
	publisher := NewPublisher(mailbox, source)
	decoder := protocol.NewUpdateDecoder()
	now := time.Unix(1000, 0)
	source.addRevision()
	publisher.Resync(now, "balancer-1", protocol.Subscribe{})
	publisher.Publish(now, Confirmation{})
	require.Len(t, updatesSentTo(t, mailbox, decoder, "balancer-1"), 1)
	publisher.Confirm(now, "balancer-1", 1, 0)

	lastConfirmed := now
	for now.Sub(lastConfirmed) <= LeaseLength {
		source.addRevision()
		publisher.Publish(now, Confirmation{})
		require.Len(t, updatesSentTo(t, mailbox, decoder, "balancer-1"), 1, "a lease may still run")
		now = now.Add(time.Second)
	}
	for range 5 {
		source.addRevision()
		publisher.Publish(now, Confirmation{})
		require.Empty(t, updatesSentTo(t, mailbox, decoder, "balancer-1"), "no message from it for %s", now.Sub(lastConfirmed))
		now = now.Add(time.Second)
	}

	publisher.Confirm(now, "balancer-1", 1, 0)
	publisher.Publish(now, Confirmation{})
	updates := updatesSentTo(t, mailbox, decoder, "balancer-1")
	require.Len(t, updates, 1)
	require.Equal(t, model.Revision(1), updates[0].Deltas[0].From)
	require.Equal(t, source.Current().Revision, updates[0].Deltas[len(updates[0].Deltas)-1].To)
}

// TestCachedSnapshotIsReusedWhileDeltasReachIt restarts subscribers one after another while
// revisions are added, so that some get an older, cached snapshot. Each must end at the current
// revision with the right content.
func TestCachedSnapshotIsReusedWhileDeltasReachIt(t *testing.T) {
	source := newTestSource()
	source.receiver.ApplySnapshot(configurationAt(5))
	mailbox := protocol.NewMailbox("relay-1")
	publisher := NewPublisher(mailbox, source)
	now := time.Unix(1000, 0)
	const revisionsPerStep = 16
	for range 2 * historyCapacity / revisionsPerStep {
		for range revisionsPerStep {
			source.addRevision()
		}
		now = now.Add(time.Second)
		publisher.Resync(now, "balancer-1", protocol.Subscribe{})
		publisher.Publish(now, Confirmation{})
		receiver := NewReceiver(&History{})
		for _, update := range updatesSentTo(t, mailbox, protocol.NewUpdateDecoder(), "balancer-1") {
			if update.Snapshot != nil {
				receiver.ApplySnapshot(update.Snapshot)
			}
			require.False(t, receiver.ApplyDeltas(update.Deltas).Resync)
		}
		require.Equal(t, source.Current().Revision, receiver.Current().Revision)
		require.Equal(t, source.Current().Digest(), receiver.Current().Digest())
	}
}

// TestWrongConfigurationIsReplacedBySnapshotOfItsRevision has a subscriber whose configuration went
// wrong after the latest snapshot was encoded. The cached snapshot would not help it: receivers
// ignore a snapshot of a lower revision.
func TestWrongConfigurationIsReplacedBySnapshotOfItsRevision(t *testing.T) {
	source := newTestSource()
	source.receiver.ApplySnapshot(configurationAt(5))
	mailbox := protocol.NewMailbox("relay-1")
	publisher := NewPublisher(mailbox, source)
	decoder := protocol.NewUpdateDecoder()
	now := time.Unix(1000, 0)
	publisher.Resync(now, "balancer-1", protocol.Subscribe{})
	publisher.Publish(now, Confirmation{})
	source.addRevision()
	publisher.Publish(now, Confirmation{})
	updatesSentTo(t, mailbox, decoder, "balancer-1")

	now = now.Add(resendAfter)
	require.False(t, publisher.Confirm(now, "balancer-1", source.Current().Revision, 666))
	publisher.Publish(now, Confirmation{})
	updates := updatesSentTo(t, mailbox, decoder, "balancer-1")
	require.Len(t, updates, 1)
	require.Equal(t, source.Current().Revision, updates[0].Snapshot.Revision)
}

// TestTypeDescriptionsAreSentOnlyToSubscribersWithoutThem moves a subscriber to another publisher of
// the same build, which must not repeat the descriptions. Then the subscriber discards them because
// of a damaged update, and must get them again.
func TestTypeDescriptionsAreSentOnlyToSubscribersWithoutThem(t *testing.T) {
	source := newTestSource()
	source.addRevision()
	decoder := protocol.NewUpdateDecoder()
	receive := func(mailbox *protocol.Mailbox) protocol.PackedUpdate {
		envelopes := mailbox.Outbox.Drain()
		require.Len(t, envelopes, 1)
		return envelopes[0].Message.(protocol.PackedUpdate)
	}
	now := time.Unix(1000, 0)
	subscribe := func() protocol.PackedUpdate {
		mailbox := protocol.NewMailbox("relay")
		publisher := NewPublisher(mailbox, source)
		publisher.Resync(now, "balancer-1", protocol.Subscribe{Types: decoder.TypesID()})
		publisher.Publish(now, Confirmation{})
		return receive(mailbox)
	}
	first := subscribe()
	require.NotEmpty(t, first.Descriptions)
	_, err := decoder.Decode(first)
	require.NoError(t, err)

	second := subscribe()
	require.Empty(t, second.Descriptions)
	damaged := second
	damaged.Payload = second.Payload[:len(second.Payload)/2]
	_, err = decoder.Decode(damaged)
	require.Error(t, err)
	require.NotEmpty(t, subscribe().Descriptions, "the decoder discarded its descriptions")
}
