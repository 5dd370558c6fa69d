package registrar

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

const (
	// declareAttempts bounds how often a declaration is compared anew because
	// another one came first.
	declareAttempts = 8
	// freshFor is how long after the last message of a leader a member counts
	// as connected to a quorum.
	freshFor = 800 * time.Millisecond
)

// Registrar takes registrations and declarations at one member. Its methods
// return at once and call done once, by the deadline at the latest; BlockingRegistrar has
// them in a form that waits.
type Registrar struct {
	directory *directory.Directory
	proposer  *Proposer
	group     Group
	// renewals has when each target was heard from at this member since the
	// leader was last told.
	renewals *RenewalTable
	// holders are the balancers that may hold the rate of a cold target.
	holders func() []feed.Peer
	logger  *zap.Logger
}

// NewRegistrar returns the registrar of one member.
//
// holders returns the balancers that may hold the rate of a cold target.
func NewRegistrar(directory *directory.Directory, proposer *Proposer, group Group, renewals *RenewalTable,
	holders func() []feed.Peer, logger *zap.Logger) *Registrar {
	return &Registrar{directory: directory, proposer: proposer, group: group, renewals: renewals, holders: holders, logger: logger}
}

// RenewalTable is the blackboard's table of targets that were heard from at this
// member since the leader was last told, with the time.
type RenewalTable = board.Table[directory.TargetID, time.Time]

// NewRenewalTable returns an empty table.
func NewRenewalTable() *RenewalTable {
	return board.NewTable[directory.TargetID, time.Time]("renewals", board.HashNumber[directory.TargetID])
}

// QuorumConfirmed tells whether the group's member leads with a confirmed quorum, or has
// lately held everything that its leader had committed. A follower whose disk
// takes nothing, or whose answers are lost, hears its leader and falls behind.
func QuorumConfirmed(group Group, now time.Time) bool {
	status := group.StatusAt(now)
	if status.Leading {
		return true
	}
	return !status.CurrentAt.IsZero() && now.Sub(status.CurrentAt) < freshFor
}

func (registrar *Registrar) demandQuorum(now time.Time) error {
	if !QuorumConfirmed(registrar.group, now) {
		return faults.New(faults.QuorumUnconfirmed, "this member has not heard from a leader for %s", freshFor)
	}
	return nil
}

// Register takes a target's registration or renewal. It is done once what it
// changed is durable on a majority; a renewal that changes nothing is not
// committed. One of a start before the latest known one is refused: that incarnation is
// gone.
func (registrar *Registrar) Register(now time.Time, stated directory.Target, deadline time.Time, done func(error)) {
	if err := checkTarget(stated); err != nil {
		done(err)
		return
	}
	if err := registrar.demandQuorum(now); err != nil {
		done(err)
		return
	}
	known, exists := registrar.directory.Target(stated.ID)
	if exists && stated.Started < known.Started {
		done(faults.New(faults.RegistrationInvalid, "started: %d, but the target started again at %d", stated.Started, known.Started))
		return
	}
	registrar.renewals.Put(stated.ID, now)
	if exists && registrar.isRenewal(known, stated) {
		done(nil)
		return
	}
	stated.Holder = registrar.holder(stated)
	registrar.proposer.Register(stated, deadline, func(token directory.Token, err error) {
		registrar.logger.Info("target registered",
			zap.Uint64("target", uint64(stated.ID)),
			zap.Int64("started", int64(stated.Started)),
			zap.String("service", stated.Service),
			zap.Stringer("address", stated.Address),
			zap.Stringer("state", stated.State),
			zap.Uint64("sequence", stated.Sequence),
			zap.Uint32("token", uint32(token)),
			zap.Error(err))
		done(err)
	})
}

// isRenewal tells whether a registration changes nothing that must be durable. Whether
// a target is cold matters to balancers only where cold targets are bounded.
func (registrar *Registrar) isRenewal(known, stated directory.Target) bool {
	_, bounded := registrar.directory.ColdLimit(known.Service)
	sameColdness := (known.Cold > 0) == (stated.Cold > 0)
	return known.Started == stated.Started && (sameColdness || !bounded) && known.State != directory.TargetFailed &&
		stated.State <= known.State &&
		stated.Address == known.Address &&
		stated.Capacity == known.Capacity
}

// holder returns the balancer that is to hold the rate of a target: one that the members
// know, spread by the targets' identifiers. It is empty for targets that are warm or have
// no bound, and when no balancer is known.
func (registrar *Registrar) holder(stated directory.Target) model.NodeName {
	if _, bounded := registrar.directory.ColdLimit(stated.Service); !bounded || stated.Cold == 0 {
		return ""
	}
	peers := registrar.holders()
	if len(peers) == 0 {
		return ""
	}
	return peers[uint64(stated.ID)%uint64(len(peers))].Name
}

func checkTarget(stated directory.Target) error {
	switch {
	case stated.ID == 0:
		return faults.New(faults.RegistrationInvalid, "id: is missing")
	case stated.Service == "":
		return faults.New(faults.RegistrationInvalid, "service: is empty")
	case !stated.Address.IsValid() || stated.Address.Port() == 0:
		return faults.New(faults.RegistrationInvalid, "address: is not an address and port")
	case stated.State != directory.TargetReady && stated.State != directory.TargetDraining:
		return faults.New(faults.RegistrationInvalid, "state: must be ready or draining")
	case stated.Capacity < 0:
		return faults.New(faults.RegistrationInvalid, "capacity: %d is negative", stated.Capacity)
	}
	return nil
}

// Leave takes a target's notice that it leaves for good.
func (registrar *Registrar) Leave(now time.Time, departure directory.Departure, deadline time.Time, done func(error)) {
	if departure.ID == 0 {
		done(faults.New(faults.RegistrationInvalid, "id: is missing"))
		return
	}
	if err := registrar.demandQuorum(now); err != nil {
		done(err)
		return
	}
	command := directory.Command{Leave: &departure}
	registrar.proposer.Propose(command, deadline, func(_ directory.Result, err error) {
		registrar.logger.Info("target leaves", zap.Uint64("target", uint64(departure.ID)), zap.Int64("started", int64(departure.Started)), zap.Error(err))
		done(err)
	})
}

// Declare replaces the declared configuration. It is done once the version, or
// a higher one, is durable on a majority. An older or equal version changes
// nothing.
func (registrar *Registrar) Declare(now time.Time, next *declared.Configuration, deadline time.Time, done func(error)) {
	if err := next.Validate(); err != nil {
		done(err)
		return
	}
	if err := registrar.demandQuorum(now); err != nil {
		done(err)
		return
	}
	registrar.declare(next, deadline, declareAttempts, done)
}

// declare proposes the difference to what this member holds. When another
// declaration came first, it compares anew.
func (registrar *Registrar) declare(next *declared.Configuration, deadline time.Time, attempts int, done func(error)) {
	if attempts == 0 {
		done(faults.New(faults.ProposalsFull, "other declarations came first %d times; nothing was changed", declareAttempts))
		return
	}
	difference := declared.Compare(registrar.directory.Configuration(), next)
	command := directory.Command{Declare: &difference}
	registrar.proposer.Propose(command, deadline, func(result directory.Result, err error) {
		registrar.logger.Info("configuration declared",
			zap.Uint64("version", next.Version),
			zap.Uint64("base", difference.Base),
			zap.Uint64("held", result.Version),
			zap.Int("routes", len(next.Routes)),
			zap.Int("changed", len(difference.Routes)),
			zap.Int("removed", len(difference.Removed)),
			zap.Bool("conflict", result.Conflict),
			zap.Error(err))
		if err != nil || !result.Conflict {
			done(err)
			return
		}
		registrar.proposer.Read(deadline, func(err error) {
			if err != nil {
				done(err)
				return
			}
			registrar.declare(next, deadline, attempts-1, done)
		})
	})
}

// Configuration reads the newest declared configuration, confirmed by a
// quorum.
func (registrar *Registrar) Configuration(now time.Time, deadline time.Time, done func(*declared.Configuration, error)) {
	if err := registrar.demandQuorum(now); err != nil {
		done(nil, err)
		return
	}
	registrar.proposer.Read(deadline, func(err error) {
		if err != nil {
			done(nil, err)
			return
		}
		done(registrar.directory.Configuration(), nil)
	})
}
