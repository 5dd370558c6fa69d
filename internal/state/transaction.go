package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

// transaction collects the changes of one command. The state changes only when the
// transaction is committed, except for claims, which change at once; see Claim.apply.
type transaction struct {
	machine *Machine
	// revision is the revision that the changes get.
	revision model.Revision
	// now is the log time.
	now time.Time
	// view is a private copy of the published view, which writes to its tables do
	// not affect. Its Configuration is not replaced before commit.
	view View
	// lastService and lastTarget are the highest IDs assigned so far. They are
	// stored in the machine on commit.
	lastService model.ServiceID
	lastTarget  model.TargetID

	// services, targets and buckets hold the new values of what changes in the
	// configuration; the removed maps hold what is removed from it.
	services        map[model.ServiceID]model.Service
	targets         map[model.TargetID]model.Target
	removedServices map[model.ServiceID]bool
	removedTargets  map[model.TargetID]bool
	buckets         map[model.ServiceID]*pendingBuckets
	// replacement, if set, is a complete state that replaces the current one. All
	// other changes are then ignored.
	replacement *image
}

// pendingBuckets is a bucket table that the transaction creates or changes.
type pendingBuckets struct {
	table *model.BucketTable
	// isNew is set if the transaction created the table.
	isNew bool
	// rows holds the changed rows of a table that is not new.
	rows map[model.BucketIndex]model.Bucket
}

func newTransaction(machine *Machine) *transaction {
	return &transaction{
		machine:         machine,
		revision:        machine.revision(),
		now:             machine.core.Clock,
		view:            *machine.View(),
		lastService:     machine.core.LastService,
		lastTarget:      machine.core.LastTarget,
		services:        make(map[model.ServiceID]model.Service),
		targets:         make(map[model.TargetID]model.Target),
		removedServices: make(map[model.ServiceID]bool),
		removedTargets:  make(map[model.TargetID]bool),
		buckets:         make(map[model.ServiceID]*pendingBuckets),
	}
}

// service returns the service, with the changes of the transaction.
func (transaction *transaction) service(id model.ServiceID) model.Service {
	if changed, pending := transaction.services[id]; pending {
		return changed
	}
	return transaction.view.Configuration.Services[id]
}

// target returns the target, with the changes of the transaction.
func (transaction *transaction) target(id model.TargetID) model.Target {
	if changed, pending := transaction.targets[id]; pending {
		return changed
	}
	return transaction.view.Configuration.Targets[id]
}

// putService records a new or changed service.
func (transaction *transaction) putService(service model.Service) {
	service.Revision = transaction.revision
	transaction.services[service.ID] = service
}

// putTarget records a new or changed target and its record, from which the target gets
// its phase.
func (transaction *transaction) putTarget(target model.Target, record TargetRecord) {
	target.Phase = record.phase()
	target.Revision = transaction.revision
	transaction.targets[target.ID] = target
	transaction.view.targets.set(target.ID, record)
}

// removeTarget removes a target, its record and its index entries.
func (transaction *transaction) removeTarget(id model.TargetID) {
	target := transaction.target(id)
	delete(transaction.targets, id)
	transaction.removedTargets[id] = true
	transaction.view.targets.remove(id)
	transaction.view.targetNames.remove(target.Name)
	if owner, _ := transaction.view.agents.get(target.Agent); owner == id {
		transaction.view.agents.remove(target.Agent)
	}
}

// removeService removes a service with its targets and buckets, whether or not it has
// flows.
func (transaction *transaction) removeService(record *ServiceRecord) {
	for _, id := range record.Targets {
		transaction.removeTarget(id)
	}
	transaction.view.listeners.remove(listenerOf(transaction.service(record.ID)))
	transaction.view.services.remove(record.Key)
	delete(transaction.services, record.ID)
	delete(transaction.buckets, record.ID)
	transaction.removedServices[record.ID] = true
}

// serviceTargets returns the targets of a service, sorted by ID.
func (transaction *transaction) serviceTargets(record *ServiceRecord) []model.Target {
	targets := make([]model.Target, 0, len(record.Targets))
	for _, id := range record.Targets {
		targets = append(targets, transaction.target(id))
	}
	return targets
}

// editableBuckets returns the bucket table of a service in a form that the transaction
// can change, or nil if the service has none.
func (transaction *transaction) editableBuckets(service model.ServiceID) *pendingBuckets {
	if pending, known := transaction.buckets[service]; known {
		return pending
	}
	published, known := transaction.view.Configuration.Buckets[service]
	if !known {
		return nil
	}
	pending := &pendingBuckets{table: published.Clone(), rows: make(map[model.BucketIndex]model.Bucket)}
	transaction.buckets[service] = pending
	return pending
}

// set replaces rows of the table.
func (pending *pendingBuckets) set(rows []model.Bucket) {
	for _, row := range rows {
		pending.table.Set(row)
		if !pending.isNew {
			pending.rows[row.Index] = row
		}
	}
}

// createBuckets creates the bucket table of a new service.
func (transaction *transaction) createBuckets(record *ServiceRecord) {
	created := routing.NewTable(record.ID, transaction.serviceTargets(record), transaction.revision)
	transaction.buckets[record.ID] = &pendingBuckets{table: created, isNew: true}
}

// reconcile adapts the bucket table of a service after its targets or buckets changed.
// It then removes leaving targets that are in no bucket, and the service itself if it is
// being removed and has no targets left.
func (transaction *transaction) reconcile(record *ServiceRecord) {
	pending := transaction.editableBuckets(record.ID)
	targets := transaction.serviceTargets(record)
	pending.set(routing.Rebalance(pending.table, targets, transaction.revision))
	if !slices.ContainsFunc(targets, isServing) {
		pending.set(transaction.retireLeaving(pending.table))
	}
	record = transaction.removeUnused(record, bucketUses(pending.table))
	if record.Removing && len(record.Targets) == 0 {
		transaction.removeService(record)
	}
}

// removeUnused removes the leaving targets that are in no bucket and returns the
// service's updated record.
func (transaction *transaction) removeUnused(record *ServiceRecord, uses map[model.TargetID]BucketUse) *ServiceRecord {
	var kept []model.TargetID
	for _, id := range record.Targets {
		target, _ := transaction.view.targets.get(id)
		if target.Leaving && uses[id].Total() == 0 {
			transaction.removeTarget(id)
			continue
		}
		kept = append(kept, id)
	}
	if len(kept) == len(record.Targets) {
		return record
	}
	changed := *record
	changed.Targets = kept
	transaction.view.services.set(record.Key, &changed)
	return &changed
}

// delta returns the configuration change of the transaction. All its lists are sorted by
// ID, so that the order does not depend on map iteration.
func (transaction *transaction) delta() model.Delta {
	delta := model.Delta{From: transaction.view.Configuration.Revision, To: transaction.revision}
	for _, id := range slices.Sorted(maps.Keys(transaction.services)) {
		delta.Services = append(delta.Services, transaction.services[id])
	}
	for _, id := range slices.Sorted(maps.Keys(transaction.targets)) {
		delta.Targets = append(delta.Targets, transaction.targets[id])
	}
	delta.RemovedServices = slices.Sorted(maps.Keys(transaction.removedServices))
	delta.RemovedTargets = slices.Sorted(maps.Keys(transaction.removedTargets))
	for _, id := range slices.Sorted(maps.Keys(transaction.buckets)) {
		if change, changed := transaction.buckets[id].change(id); changed {
			delta.Buckets = append(delta.Buckets, change)
		}
	}
	return delta
}

// change returns the change of the service's bucket table, sorted by index, or false if
// no row changed.
func (pending *pendingBuckets) change(service model.ServiceID) (model.BucketChange, bool) {
	if pending.isNew {
		return model.BucketChange{Service: service, Whole: pending.table}, true
	}
	if len(pending.rows) == 0 {
		return model.BucketChange{}, false
	}
	rows := slices.SortedFunc(maps.Values(pending.rows), func(left, right model.Bucket) int {
		return cmp.Compare(left.Index, right.Index)
	})
	return model.BucketChange{Service: service, Rows: rows}, true
}

// isEmpty reports whether the delta changes nothing.
func isEmpty(delta model.Delta) bool {
	changes := len(delta.Services) + len(delta.Targets) + len(delta.Buckets)
	return changes+len(delta.RemovedServices)+len(delta.RemovedTargets) == 0
}

// commit applies the transaction to the machine: it publishes the new view and, if the
// configuration changed, logs the delta and notifies watchers.
func (transaction *transaction) commit() {
	machine := transaction.machine
	if transaction.replacement != nil {
		machine.install(transaction.replacement)
		return
	}
	machine.core.LastService = transaction.lastService
	machine.core.LastTarget = transaction.lastTarget
	delta := transaction.delta()
	if !isEmpty(delta) {
		next, err := transaction.view.Configuration.Apply(delta)
		if err != nil {
			// The delta was computed from this configuration, so it must fit.
			panic("state: " + err.Error())
		}
		transaction.view.Configuration = next
	}
	transaction.view.markShared()
	published := transaction.view
	machine.view.Store(&published)
	if !isEmpty(delta) {
		machine.deltas.add(delta)
		machine.notifier.Notify()
	}
}
