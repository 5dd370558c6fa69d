package membership

import (
	"cmp"
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/rollout"
)

// Leadership is this member's time as leader.
type Leadership struct {
	// Leading tells that this member is the leader and holds its lease.
	Leading bool
	Term    uint64
	// Since is when this member saw that it leads.
	Since time.Time
}

// PriorLeasesExpired tells whether all leases that an earlier leader granted have run
// out.
func (leadership Leadership) PriorLeasesExpired(now time.Time) bool {
	return leadership.Leading && now.Sub(leadership.Since) >= rollout.LeaseLength+rollout.ClockMargin
}

// MayHoldLease tells whether the node may hold a lease at now: one of its
// relays has a grant that may still run, and did not say that the node's lease
// is over. A node that leaves has given its lease up.
func (registry *Registry) MayHoldLease(now time.Time, node Node) bool {
	if !node.Leaving && now.Before(node.OrphanedLeaseUntil.Add(rollout.ClockMargin)) {
		return true
	}
	for _, holder := range node.Attachments {
		if holder.LeaseExpired {
			continue
		}
		relay, known := registry.Relays.Get(holder.Relay)
		if known && now.Before(relay.GrantedUntil.Add(rollout.ClockMargin)) {
			return true
		}
	}
	return false
}

// RolloutStatus returns how far the configuration has come. In force is zero
// while it is not known, as on a member that does not lead.
func (registry *Registry) RolloutStatus(now time.Time, leadership Leadership, committed model.Revision) model.RolloutStatus {
	status := model.RolloutStatus{Committed: committed}
	if !leadership.Leading {
		return status
	}
	inForce := committed
	registry.View().Range(func(node Node) bool {
		leased := registry.MayHoldLease(now, node)
		if leased && node.Role == model.RoleBalancer {
			inForce = min(inForce, node.Applied)
		}
		status.Nodes = append(status.Nodes, node.status(leased))
		return true
	})
	slices.SortFunc(status.Nodes, func(left, right model.NodeStatus) int { return cmp.Compare(left.Name, right.Name) })
	if leadership.PriorLeasesExpired(now) {
		status.InForce = inForce
	}
	return status
}

func (node Node) status(leased bool) model.NodeStatus {
	return model.NodeStatus{
		Name:        node.Name,
		Role:        node.Role,
		Zone:        node.Zone,
		Incarnation: node.Incarnation,
		Applied:     node.Applied,
		Digest:      node.Digest,
		Leased:      leased,
		LastSeen:    node.LastSeen,
		Load:        node.Load,
	}
}
