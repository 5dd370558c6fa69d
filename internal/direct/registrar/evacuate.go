package registrar

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

const (
	// orderAttempts bounds how often an order is made anew because another one came
	// first. Operators have few orders under way at a time.
	orderAttempts = 8
	// longestZoneName bounds the names of zones, in bytes.
	longestZoneName = 255
)

// ZoneOrder is an operator's call to empty a zone, or to take it back into use.
type ZoneOrder struct {
	Zone string
	// End takes the zone back.
	End bool
	// CallerWaiting tells whether the caller still waits for the answer. A member that
	// stood still finds calls whose callers went elsewhere long ago.
	CallerWaiting func() bool
}

// Evacuate empties a zone or takes it back. It is done once the order is durable on
// a majority. A zone that no target has named yet is as good as any: its targets
// may register later.
//
// The order is made against the latest one that was committed when the call came,
// as a confirmed read tells. An order that is proposed late, after the operator had
// the opposite one acknowledged at another member, therefore changes nothing.
func (registrar *Registrar) Evacuate(now time.Time, order ZoneOrder, deadline time.Time, done func(error)) {
	if order.Zone == "" || len(order.Zone) > longestZoneName {
		done(faults.New(faults.ZoneOrderInvalid, "zone: %q is no name of 1 to %d bytes", order.Zone, longestZoneName))
		return
	}
	if err := registrar.demandQuorum(now); err != nil {
		done(err)
		return
	}
	registrar.orderZone(order, deadline, orderAttempts, done)
}

// orderZone reads what holds and proposes the order on top of it.
func (registrar *Registrar) orderZone(order ZoneOrder, deadline time.Time, attempts int, done func(error)) {
	if attempts == 0 {
		done(faults.New(faults.ProposalsFull, "other orders came first %d times; nothing was changed", orderAttempts))
		return
	}
	registrar.proposer.Read(deadline, func(err error) {
		switch {
		case err != nil:
			done(err)
		case !order.CallerWaiting():
			done(faults.New(faults.OutcomeUnknown, "the caller left before the order was proposed; nothing was changed by this call"))
		default:
			_, base := registrar.directory.Evacuations()
			registrar.proposeOrder(order, base, deadline, attempts, done)
		}
	})
}

func (registrar *Registrar) proposeOrder(order ZoneOrder, base model.Revision, deadline time.Time, attempts int, done func(error)) {
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
			registrar.orderZone(order, deadline, attempts-1, done)
		case result.Full:
			done(faults.New(faults.ZoneOrdersFull, "no further zone can be evacuated"))
		default:
			done(nil)
		}
	})
}
