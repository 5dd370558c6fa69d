package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// claimPhase is the phase of a claim in its life cycle.
type claimPhase uint8

const (
	// claimHeld means that an agent holds the claim and may have run the request.
	// No other agent may run it.
	claimHeld claimPhase = iota + 1
	// claimDone means that the outcome of the request is recorded.
	claimDone
	// claimReleased means that the request was not run and the key is free. The
	// row is kept for ReleaseRetention to refuse delayed copies of the claim
	// request.
	claimReleased
)

// claimHolder identifies a claim request: one attempt of one agent process.
type claimHolder struct {
	Agent       model.NodeName
	Incarnation model.Incarnation
	Correlation uint64
}

// claimRow is the claim of one request.
type claimRow struct {
	Key         protocol.ClaimKey
	Fingerprint uint64
	Holder      claimHolder
	Phase       claimPhase
	// Outcome is set in phase claimDone.
	Outcome *protocol.ClaimOutcome
	// ExpiresAt is when the row is removed, by the log time.
	ExpiresAt time.Time
	// Serial is the revision of the command that set ExpiresAt. It distinguishes
	// the row from earlier rows with the same key.
	Serial model.Revision
}

// claimExpiry is an entry in a queue of rows that will expire.
type claimExpiry struct {
	key    protocol.ClaimKey
	serial model.Revision
}

// claimTable holds the claims and two queues of their expiry: windowQueue for held
// and completed claims, releaseQueue for released ones. Each queue is ordered by
// ExpiresAt, because its rows are all kept for the same time and the log time never
// goes back.
type claimTable struct {
	rows         map[protocol.ClaimKey]claimRow
	windowQueue  []claimExpiry
	releaseQueue []claimExpiry
	// tenants is the number of rows of each tenant.
	tenants map[model.TenantName]int
	// outcomeBytes is the size of all stored bodies.
	outcomeBytes int
}

func newClaimTable() claimTable {
	return claimTable{rows: make(map[protocol.ClaimKey]claimRow), tenants: make(map[model.TenantName]int)}
}

// put adds or replaces the row and queues its expiry.
func (claims *claimTable) put(row claimRow) {
	claims.remove(row.Key)
	claims.rows[row.Key] = row
	claims.tenants[row.Key.Tenant]++
	claims.outcomeBytes += row.outcomeBytes()
	expiry := claimExpiry{key: row.Key, serial: row.Serial}
	if row.Phase == claimReleased {
		claims.releaseQueue = append(claims.releaseQueue, expiry)
		return
	}
	claims.windowQueue = append(claims.windowQueue, expiry)
}

// complete records the outcome of a held claim. Its expiry does not change.
func (claims *claimTable) complete(row claimRow, outcome protocol.ClaimOutcome) {
	row.Phase = claimDone
	row.Outcome = &outcome
	claims.outcomeBytes += row.outcomeBytes()
	claims.rows[row.Key] = row
}

func (row claimRow) outcomeBytes() int {
	if row.Outcome == nil {
		return 0
	}
	return len(row.Outcome.Body)
}

func (claims *claimTable) remove(key protocol.ClaimKey) {
	row, known := claims.rows[key]
	if !known {
		return
	}
	delete(claims.rows, key)
	claims.outcomeBytes -= row.outcomeBytes()
	claims.tenants[key.Tenant]--
	if claims.tenants[key.Tenant] == 0 {
		delete(claims.tenants, key.Tenant)
	}
}

// expire removes the rows whose ExpiresAt has been reached.
func (claims *claimTable) expire(now time.Time) {
	claims.windowQueue = claims.expireQueue(claims.windowQueue, now)
	claims.releaseQueue = claims.expireQueue(claims.releaseQueue, now)
}

// expireQueue removes the expired rows at the front of a queue and returns the rest
// of the queue. An entry whose serial differs from its row's is left over from an
// earlier row with the same key.
func (claims *claimTable) expireQueue(queue []claimExpiry, now time.Time) []claimExpiry {
	for len(queue) > 0 {
		row, known := claims.rows[queue[0].key]
		current := known && row.Serial == queue[0].serial
		if current && now.Before(row.ExpiresAt) {
			return queue
		}
		if current {
			claims.remove(row.Key)
		}
		queue = queue[1:]
	}
	return queue
}

// list returns the rows, sorted by serial and then by key.
func (claims *claimTable) list() []claimRow {
	return slices.SortedFunc(maps.Values(claims.rows), func(left, right claimRow) int {
		return cmp.Or(
			cmp.Compare(left.Serial, right.Serial),
			cmp.Compare(left.Key.Tenant, right.Key.Tenant),
			cmp.Compare(left.Key.Service, right.Key.Service),
			cmp.Compare(left.Key.Key, right.Key.Key),
		)
	})
}
