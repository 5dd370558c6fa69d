package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// growingSource is a configuration that a test takes from revision to
// revision.
type testSource struct{ receiver *Receiver }

func newTestSource() *testSource { return &testSource{receiver: NewReceiver(&History{})} }

func (source *testSource) Current() *model.Configuration { return source.receiver.Current() }

func (source *testSource) DeltasSince(revision model.Revision) ([]model.Delta, bool) {
	return source.receiver.DeltasSince(revision)
}

// grow adds one revision that changes one service.
func (source *testSource) addRevision() {
	from := source.receiver.Current().Revision
	source.receiver.ApplyDeltas([]model.Delta{{From: from, To: from + 1, Services: []model.Service{{ID: 1, Limits: model.DefaultLimits()}}}})
}

// sentTo returns the updates sent to one subscriber since the last call, and
// drops those to others.
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

func TestSilentSubscriberIsSentNothingUntilItIsHeardAgain(t *testing.T) {
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

	silentSince := now
	for now.Sub(silentSince) <= LeaseLength {
		source.addRevision()
		publisher.Publish(now, Confirmation{})
		require.Len(t, updatesSentTo(t, mailbox, decoder, "balancer-1"), 1, "a lease may still run")
		now = now.Add(time.Second)
	}
	for range 5 {
		source.addRevision()
		publisher.Publish(now, Confirmation{})
		require.Empty(t, updatesSentTo(t, mailbox, decoder, "balancer-1"), "silent for %s", now.Sub(silentSince))
		now = now.Add(time.Second)
	}

	publisher.Confirm(now, "balancer-1", 1, 0)
	publisher.Publish(now, Confirmation{})
	updates := updatesSentTo(t, mailbox, decoder, "balancer-1")
	require.Len(t, updates, 1)
	require.Equal(t, model.Revision(1), updates[0].Deltas[0].From)
	require.Equal(t, source.Current().Revision, updates[0].Deltas[len(updates[0].Deltas)-1].To)
}

// TestSnapshotsServeWhileDeltasLeadOn restarts subscribers one after another
// while the configuration grows. Each ends at the present revision, with the
// right content.
func TestCachedSnapshotIsReusedWhileDeltasReachIt(t *testing.T) {
	source := newTestSource()
	source.receiver.ApplySnapshot(configurationAt(5))
	mailbox := protocol.NewMailbox("relay-1")
	publisher := NewPublisher(mailbox, source)
	now := time.Unix(1000, 0)
	const growth = 16
	for range 2 * historyCapacity / growth {
		for range growth {
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

// TestWrongConfigurationIsReplacedAtItsRevision has a subscriber that went
// wrong after the latest snapshot was encoded.
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

// TestDescriptionsGoOnlyToThoseWithoutThem moves a subscriber to another
// publisher of the same build, and has one lose what it knew.
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
		publisher.Resync(now, "balancer-1", protocol.Subscribe{Types: decoder.Types()})
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
	require.NotEmpty(t, subscribe().Descriptions, "the decoder gave up what it knew")
}
