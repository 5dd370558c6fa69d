package membership

import (
	"cmp"
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/rollout"
)

// Leadership is this member's current period of leadership; the zero value means that it does not
// lead.
type Leadership struct {
	// Leading reports whether this member is the leader and holds its lease.
	Leading bool
	Term    uint64
	// Since is when this member began to act as leader.
	Since time.Time
}

// PriorLeasesExpired reports whether this member has led for long enough that all leases granted
// under earlier leaders have expired.
func (leadership Leadership) PriorLeasesExpired(now time.Time) bool {
	return leadership.Leading && now.Sub(leadership.Since) >= rollout.LeaseLength+rollout.ClockMargin
}

// MayHoldLease reports whether the node may hold a lease at now: one of its relays has a grant that
// may not have expired yet and has not reported the node's lease as expired, or the node may have a
// lease from a relay process that has restarted since. A node that leaves has released its lease.
func (registry *Registry) MayHoldLease(now time.Time, node Node) bool {
	if !node.Leaving && now.Before(node.OrphanedLeaseUntil.Add(rollout.ClockMargin)) {
		return true
	}
	for _, attachment := range node.Attachments {
		if attachment.LeaseExpired {
			continue
		}
		relay, known := registry.Relays.Get(attachment.Relay)
		if known && now.Before(relay.GrantedUntil.Add(rollout.ClockMargin)) {
			return true
		}
	}
	return false
}

// RolloutStatus returns how far the configuration has been rolled out. InForce is zero while it is
// not known: on members that do not lead, and while leases granted under an earlier leader may
// still run. Nodes is empty on members that do not lead.
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
