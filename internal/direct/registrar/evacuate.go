package registrar

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

const (
	// maxOrderAttempts bounds how often an order is retried after a conflict with another
	// order. Operators rarely have more than a few orders in progress.
	maxOrderAttempts = 8
	// maxZoneNameBytes bounds the length of a zone name.
	maxZoneNameBytes = 255
)

// ZoneOrder is an operator's order to evacuate a zone or to end its evacuation.
type ZoneOrder struct {
	Zone string
	// End ends the evacuation.
	End bool
	// CallerWaiting reports whether the caller still waits for the answer. A member whose process
	// stalled may start calls whose callers have called another member long since.
	CallerWaiting func() bool
}

// Evacuate evacuates a zone or ends its evacuation. It calls done without an error once the
// order is durable on a majority. The zone need not have any targets: they may register later.
//
// The order is made on top of the latest committed order, which a confirmed read returns. If it
// enters the log late, after the operator got the opposite order acknowledged by another member,
// it conflicts and changes nothing. After a conflict it is proposed again only while its caller
// waits.
func (registrar *Registrar) Evacuate(now time.Time, order ZoneOrder, deadline time.Time, done func(error)) {
	if order.Zone == "" || len(order.Zone) > maxZoneNameBytes {
		done(faults.New(faults.ZoneOrderInvalid, "zone: %q is not a name of 1 to %d bytes", order.Zone, maxZoneNameBytes))
		return
	}
	if err := registrar.requireQuorum(now); err != nil {
		done(err)
		return
	}
	registrar.attemptZoneOrder(order, deadline, maxOrderAttempts, done)
}

// attemptZoneOrder reads the latest committed order and proposes this one on top of it. On a
// conflict it tries again, up to attempts times.
func (registrar *Registrar) attemptZoneOrder(order ZoneOrder, deadline time.Time, attempts int, done func(error)) {
	if attempts == 0 {
		done(faults.New(faults.ProposalsFull, "the order conflicted with other orders %d times; nothing was changed", maxOrderAttempts))
		return
	}
	registrar.proposer.Read(deadline, func(err error) {
		switch {
		case err != nil:
			done(err)
		case !order.CallerWaiting():
			done(faults.New(faults.ProposalOutcomeUnknown, "the caller disconnected before the order was proposed; this call changed nothing"))
		default:
			_, base := registrar.directory.Evacuations()
			registrar.proposeZoneOrder(order, base, deadline, attempts, done)
		}
	})
}

// proposeZoneOrder proposes an order on top of the order committed at revision base.
func (registrar *Registrar) proposeZoneOrder(order ZoneOrder, base model.Revision, deadline time.Time, attempts int, done func(error)) {
	command := directory.Command{Evacuate: &directory.EvacuationOrder{Zone: order.Zone, End: order.End, Base: base}}
	registrar.proposer.Propose(command, deadline, func(result directory.Result, err error) {
		registrar.logger.Info("zone order",
			zap.String("zone", order.Zone),
			zap.Bool("end", order.End),
			zap.Uint64("base", uint64(base)),
			zap.Bool("conflict", result.Conflict),
			zap.Bool("full", result.Full),
			zap.Error(err))
		switch {
		case err != nil:
			done(err)
		case result.Conflict:
			registrar.attemptZoneOrder(order, deadline, attempts-1, done)
		case result.Full:
			done(faults.New(faults.ZoneOrdersFull, "the maximum number of zones is already evacuated"))
		default:
			done(nil)
		}
	})
}
