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
	// maxDeclareAttempts bounds how often a declaration is retried after a conflict with
	// another declaration.
	maxDeclareAttempts = 8
	// maxStaleness is how long a follower still counts as connected to a quorum after it was
	// last up to date with its leader's commit index.
	maxStaleness = 800 * time.Millisecond
)

// Registrar handles registrations and declarations at one member. Its methods return at once
// and call done once, by the deadline at the latest. BlockingRegistrar offers them in a form
// that waits.
type Registrar struct {
	directory *directory.Directory
	proposer  *Proposer
	group     Group
	// renewalTable has the renewals received at this member that the leader has not got yet.
	renewalTable *RenewalTable
	// coldRateHolders returns the balancers that may be assigned to a cold target.
	coldRateHolders func() []feed.Peer
	logger          *zap.Logger
}

// NewRegistrar returns the registrar of one member. coldRateHolders returns the balancers of
// which one is assigned to each cold target. While the target is cold, only that balancer sends
// it new flows, within the rate of the service's cold limit.
func NewRegistrar(directory *directory.Directory, proposer *Proposer, group Group, renewalTable *RenewalTable,
	coldRateHolders func() []feed.Peer, logger *zap.Logger) *Registrar {
	return &Registrar{directory: directory, proposer: proposer, group: group, renewalTable: renewalTable, coldRateHolders: coldRateHolders, logger: logger}
}

// RenewalTable is the blackboard table with the time of each target's latest renewal at this
// process, until DrainRenewals takes it.
type RenewalTable = board.Table[directory.TargetID, time.Time]

// NewRenewalTable returns an empty table.
func NewRenewalTable() *RenewalTable {
	return board.NewTable[directory.TargetID, time.Time]("renewals", board.HashNumber[directory.TargetID])
}

// QuorumConfirmed reports whether this member leads with a confirmed quorum, or was up to date
// with its leader's commit index within maxStaleness. Receiving the leader's messages is not
// enough: a follower whose disk fails, or whose acknowledgements are lost, receives them and
// falls behind.
func QuorumConfirmed(group Group, now time.Time) bool {
	status := group.StatusAt(now)
	if status.Leading {
		return true
	}
	return !status.CurrentAt.IsZero() && now.Sub(status.CurrentAt) < maxStaleness
}

// requireQuorum returns an error if this member has no confirmed quorum.
func (registrar *Registrar) requireQuorum(now time.Time) error {
	if !QuorumConfirmed(registrar.group, now) {
		return faults.New(faults.QuorumUnconfirmed, "this member has not been up to date with a leader for %s", maxStaleness)
	}
	return nil
}

// Register registers or renews a target. It calls done without an error once the changes are
// durable on a majority; a renewal that changes nothing is not committed. A registration of an
// incarnation that started before the latest known one is refused, because the target has
// restarted since, and so is one of another writer.
func (registrar *Registrar) Register(now time.Time, target directory.Target, deadline time.Time, done func(error)) {
	if err := validateTarget(target); err != nil {
		done(err)
		return
	}
	if err := registrar.requireQuorum(now); err != nil {
		done(err)
		return
	}
	current, exists := registrar.directory.Target(target.ID)
	if exists && target.Started < current.Started {
		done(faults.New(faults.RegistrationInvalid, "started: %d, but the target restarted at %d", target.Started, current.Started))
		return
	}
	if registrar.directory.HasLeft(target) {
		done(faults.New(faults.RegistrationInvalid, "id: the target has left"))
		return
	}
	if registrar.directory.IsForeign(target) {
		done(faults.New(faults.RegistrationInvalid, "service: %q is not declared, and the target belongs to %q", target.Service, current.Service))
		return
	}
	registrar.renewalTable.Put(target.ID, now)
	if exists && registrar.isRenewal(current, target) {
		done(nil)
		return
	}
	target.Holder = registrar.chooseHolder(target)
	registrar.proposer.Register(target, deadline, func(token directory.Token, err error) {
		registrar.logger.Info("target registered",
			zap.Uint64("target", uint64(target.ID)),
			zap.Int64("started", int64(target.Started)),
			zap.String("service", target.Service),
			zap.Stringer("address", target.Address),
			zap.Stringer("state", target.State),
			zap.Uint64("sequence", target.Sequence),
			zap.Uint32("token", uint32(token)),
			zap.Error(err))
		done(err)
	})
}

// isRenewal reports whether a registration changes nothing that must be durable. Whether a
// target is cold matters only if its service limits the rate of cold targets.
func (registrar *Registrar) isRenewal(current, target directory.Target) bool {
	_, bounded := registrar.directory.ColdLimit(current.Service)
	sameColdness := (current.Cold > 0) == (target.Cold > 0)
	return current.Started == target.Started && (sameColdness || !bounded) && current.State != directory.TargetFailed &&
		target.State <= current.State &&
		target.Address == current.Address &&
		target.Capacity == current.Capacity
}

// chooseHolder returns the balancer that alone may send new flows to the target while it is
// cold, chosen by the target's identifier. It is empty for targets that are warm or whose
// service has no cold limit, and when no balancer is known.
func (registrar *Registrar) chooseHolder(target directory.Target) model.NodeName {
	if _, bounded := registrar.directory.ColdLimit(target.Service); !bounded || target.Cold == 0 {
		return ""
	}
	peers := registrar.coldRateHolders()
	if len(peers) == 0 {
		return ""
	}
	return peers[uint64(target.ID)%uint64(len(peers))].Name
}

// validateTarget returns an error that names the first invalid field of a registration.
func validateTarget(target directory.Target) error {
	switch {
	case target.ID == 0:
		return faults.New(faults.RegistrationInvalid, "id: is missing")
	case target.Service == "":
		return faults.New(faults.RegistrationInvalid, "service: is empty")
	case !target.Address.IsValid() || target.Address.Port() == 0:
		return faults.New(faults.RegistrationInvalid, "address: is not an address and port")
	case target.State != directory.TargetReady && target.State != directory.TargetDraining:
		return faults.New(faults.RegistrationInvalid, "state: must be ready or draining")
	case target.Capacity < 0:
		return faults.New(faults.RegistrationInvalid, "capacity: %d is negative", target.Capacity)
	}
	return nil
}

// Leave records that a target leaves permanently.
func (registrar *Registrar) Leave(now time.Time, departure directory.Departure, deadline time.Time, done func(error)) {
	if departure.ID == 0 {
		done(faults.New(faults.RegistrationInvalid, "id: is missing"))
		return
	}
	if err := registrar.requireQuorum(now); err != nil {
		done(err)
		return
	}
	command := directory.Command{Leave: &departure}
	registrar.proposer.Propose(command, deadline, func(_ directory.Result, err error) {
		recorded, _ := registrar.directory.Target(departure.ID)
		registrar.logger.Info("target leaves", zap.Uint64("target", uint64(departure.ID)), zap.Int64("started", int64(departure.Started)),
			zap.Int64("recorded_start", int64(recorded.Started)), zap.Stringer("recorded_state", recorded.State), zap.Error(err))
		done(err)
	})
}

// Declare replaces the declared configuration. It calls done without an error once this version
// or a higher one is durable on a majority. A version that is not above the current one changes
// nothing.
func (registrar *Registrar) Declare(now time.Time, next *declared.Configuration, deadline time.Time, done func(error)) {
	if err := next.Validate(); err != nil {
		done(err)
		return
	}
	if err := registrar.requireQuorum(now); err != nil {
		done(err)
		return
	}
	registrar.proposeDeclaration(next, deadline, maxDeclareAttempts, done)
}

// proposeDeclaration proposes the difference to the configuration that this member holds. On a
// conflict with another declaration it reads the newer one and tries again, up to attempts
// times.
func (registrar *Registrar) proposeDeclaration(next *declared.Configuration, deadline time.Time, attempts int, done func(error)) {
	if attempts == 0 {
		done(faults.New(faults.ProposalsFull, "the declaration conflicted with others %d times; nothing was changed", maxDeclareAttempts))
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
			registrar.proposeDeclaration(next, deadline, attempts-1, done)
		})
	})
}

// Configuration reads the newest declared configuration, confirmed by a quorum.
func (registrar *Registrar) Configuration(now time.Time, deadline time.Time, done func(*declared.Configuration, error)) {
	if err := registrar.requireQuorum(now); err != nil {
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
