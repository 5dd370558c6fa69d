package registrar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
)

const (
	// declareAttempts bounds how often a declaration is compared anew because
	// another one came first.
	declareAttempts = 8
	// freshFor is how long after the last message of a leader a member counts
	// as connected to a quorum.
	freshFor = 800 * time.Millisecond
)

// Registrar takes registrations and declarations at one member.
type Registrar struct {
	directory *directory.Directory
	proposer  *Proposer
	group     Group
	// renewals has when each target was last heard from at this member.
	renewals *Renewed
	logger   *zap.Logger
}

// NewRegistrar returns the registrar of one member.
func NewRegistrar(directory *directory.Directory, proposer *Proposer, group Group, renewals *Renewed, logger *zap.Logger) *Registrar {
	return &Registrar{directory: directory, proposer: proposer, group: group, renewals: renewals, logger: logger}
}

// Renewed is the blackboard's table of targets that were heard from at this
// member, with the time.
type Renewed = board.Table[directory.TargetID, time.Time]

// NewRenewed returns an empty table.
func NewRenewed() *Renewed {
	return board.NewTable[directory.TargetID, time.Time]("renewals", board.HashNumber[directory.TargetID])
}

// Fresh tells whether the member leads with a confirmed quorum, or has just
// heard from a leader.
func (registrar *Registrar) Fresh(now time.Time) bool { return Fresh(registrar.group, now) }

// Fresh tells whether the group's member leads with a confirmed quorum, or has
// just heard from a leader.
func Fresh(group Group, now time.Time) bool {
	status := group.StatusAt(now)
	if status.Leading {
		return true
	}
	return !status.LeaderHeardAt.IsZero() && now.Sub(status.LeaderHeardAt) < freshFor
}

func (registrar *Registrar) demandQuorum() error {
	if !registrar.Fresh(time.Now()) {
		return faults.New(faults.QuorumUnconfirmed, "this member has not heard from a leader for %s", freshFor)
	}
	return nil
}

// Register takes a target's registration or renewal. It returns once what it
// changed is durable on a majority; a renewal that changes nothing is not
// committed.
func (registrar *Registrar) Register(ctx context.Context, stated directory.Target) error {
	if err := checkTarget(stated); err != nil {
		return err
	}
	if err := registrar.demandQuorum(); err != nil {
		return err
	}
	registrar.renewals.Put(stated.ID, time.Now())
	if known, exists := registrar.directory.Target(stated.ID); exists && isRenewal(known, stated) {
		return nil
	}
	result, err := registrar.proposer.Propose(ctx, directory.Command{Register: &directory.Registration{Target: stated}})
	registrar.logger.Info("target registered",
		zap.Uint64("target", uint64(stated.ID)),
		zap.String("service", stated.Service),
		zap.Stringer("address", stated.Address),
		zap.Stringer("state", stated.State),
		zap.Uint64("sequence", stated.Sequence),
		zap.Uint32("token", uint32(result.Token)),
		zap.Error(err))
	return err
}

// isRenewal tells whether a registration changes nothing that must be durable.
func isRenewal(known, stated directory.Target) bool {
	return known.State != directory.TargetFailed &&
		stated.State <= known.State &&
		stated.Address == known.Address &&
		stated.Capacity == known.Capacity
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
func (registrar *Registrar) Leave(ctx context.Context, id directory.TargetID) error {
	if id == 0 {
		return faults.New(faults.RegistrationInvalid, "id: is missing")
	}
	if err := registrar.demandQuorum(); err != nil {
		return err
	}
	_, err := registrar.proposer.Propose(ctx, directory.Command{Leave: &directory.Departure{ID: id}})
	registrar.logger.Info("target leaves", zap.Uint64("target", uint64(id)), zap.Error(err))
	return err
}

// Declare replaces the declared configuration. It returns once the version,
// or a higher one, is durable on a majority. An older or equal version changes
// nothing.
func (registrar *Registrar) Declare(ctx context.Context, next *declared.Configuration) error {
	if err := next.Validate(); err != nil {
		return err
	}
	if err := registrar.demandQuorum(); err != nil {
		return err
	}
	for range declareAttempts {
		difference := declared.Compare(registrar.directory.Configuration(), next)
		result, err := registrar.proposer.Propose(ctx, directory.Command{Declare: &difference})
		if err != nil {
			return err
		}
		registrar.logger.Info("configuration declared",
			zap.Uint64("version", next.Version),
			zap.Uint64("base", difference.Base),
			zap.Uint64("held", result.Version),
			zap.Int("routes", len(next.Routes)),
			zap.Int("changed", len(difference.Routes)),
			zap.Int("removed", len(difference.Removed)),
			zap.Bool("conflict", result.Conflict))
		if !result.Conflict {
			return nil
		}
		if err := registrar.proposer.Read(ctx); err != nil {
			return err
		}
	}
	return faults.New(faults.ProposalsFull, "other declarations came first %d times; nothing was changed", declareAttempts)
}

// Configuration returns the newest declared configuration, confirmed by a
// quorum.
func (registrar *Registrar) Configuration(ctx context.Context) (*declared.Configuration, error) {
	if err := registrar.demandQuorum(); err != nil {
		return nil, err
	}
	if err := registrar.proposer.Read(ctx); err != nil {
		return nil, err
	}
	return registrar.directory.Configuration(), nil
}
