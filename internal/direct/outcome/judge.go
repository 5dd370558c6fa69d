package outcome

import (
	"cmp"
	"slices"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
)

const (
	// Outcomes are counted over the last windowSteps steps of stepLength each.
	windowSteps = 6
	stepLength  = 500 * time.Millisecond
	// outlierFactor is the multiple of the median share of failed requests of its service that a
	// target must reach to be ejected. When most targets fail, the cause is not a single target.
	outlierFactor = 5
	// maxEjectedShare is the largest share of a service's targets that are ejected at a time.
	// From minPoolSize targets on, at least one may be ejected; below that none.
	maxEjectedShare = 0.2
	minPoolSize     = 3
	// firstEjection is the length of a target's first ejection. Each further one is twice as
	// long, up to maxEjection. A target that was not ejected for ejectionResetAfter starts again
	// with firstEjection.
	firstEjection      = 3 * time.Second
	maxEjection        = 30 * time.Second
	ejectionResetAfter = time.Minute
)

// counts are numbers of requests by outcome.
type counts struct {
	answered, unanswered float64
	// hasty are the answered requests whose answers look like errors; see the package comment.
	hasty float64
}

func (sum *counts) add(other counts) {
	sum.answered += other.answered
	sum.unanswered += other.unanswered
	sum.hasty += other.hasty
}

// Cause states why a target is ejected.
type Cause string

// The causes.
const (
	CauseUnanswered Cause = "it leaves requests unanswered"
	CauseHasty      Cause = "it answers far sooner and shorter than others, as with errors"
)

// fault is one way in which a target may fail its requests.
type fault struct {
	cause Cause
	// failed returns the number of requests that show the fault.
	failed func(sum counts) float64
	// A target is only ejected if at least minFailed requests in the window, and at least the
	// share minShare of all its requests, show the fault.
	minFailed, minShare float64
}

// faults are the ways in which a target may fail its requests. Single answers are hasty by chance,
// and any service answers some requests with errors, so hasty answers must be most of a target's
// answers.
var faults = []fault{
	{cause: CauseUnanswered, failed: func(sum counts) float64 { return sum.unanswered }, minFailed: 4, minShare: 0.1},
	{cause: CauseHasty, failed: func(sum counts) float64 { return sum.hasty }, minFailed: 6, minShare: 0.5},
}

// share returns the share of the requests that show the fault, from 0 to 1.
func (fault *fault) share(sum counts) float64 {
	if total := sum.answered + sum.unanswered; total > 0 {
		return fault.failed(sum) / total
	}
	return 0
}

// targetRecord holds the recent outcomes and the ejections of a target.
type targetRecord struct {
	steps [windowSteps]counts
	// step is the number of the current step.
	step int64
	// ejectedUntil is when the current ejection ends, zero if the target is not ejected by this
	// Ejector. ejection is the length of the current or last ejection.
	ejectedUntil time.Time
	ejection     time.Duration
	// restoredAt is when the last ejection ended.
	restoredAt time.Time
}

// Ejector decides which targets are ejected, that is, get no new flows for some time. It has no
// clock and no side effects; the caller applies its decisions. It must not be used by more than
// one goroutine.
type Ejector struct {
	records map[directory.Token]*targetRecord
}

// NewEjector returns an Ejector without recorded outcomes.
func NewEjector() *Ejector { return &Ejector{records: make(map[directory.Token]*targetRecord)} }

func stepOf(now time.Time) int64 { return now.UnixNano() / int64(stepLength) }

func (ejector *Ejector) recordFor(token directory.Token) *targetRecord {
	record := ejector.records[token]
	if record == nil {
		record = &targetRecord{}
		ejector.records[token] = record
	}
	return record
}

// advance moves the window to the current step and clears the steps that have left it.
func (record *targetRecord) advance(now time.Time) {
	step := stepOf(now)
	for elapsed := min(step-record.step, windowSteps); elapsed > 0; elapsed-- {
		record.steps[(step-elapsed+1)%windowSteps] = counts{}
	}
	record.step = step
}

// sum returns the counts of the whole window.
func (record *targetRecord) sum(now time.Time) counts {
	record.advance(now)
	var total counts
	for _, step := range record.steps {
		total.add(step)
	}
	return total
}

// AddReport adds a balancer's counts.
func (ejector *Ejector) AddReport(report feed.OutcomeReport, now time.Time) {
	for _, counted := range report.Counts {
		record := ejector.recordFor(counted.Token)
		record.advance(now)
		record.steps[record.step%windowSteps].add(counts{
			answered: float64(counted.Answered), unanswered: float64(counted.Unanswered), hasty: float64(counted.Hasty),
		})
	}
}

// Changes are the targets to eject and to restore.
type Changes struct {
	// Eject lists the targets that get no new flows from now on, Restore those that get new flows
	// again. Both are sorted.
	Eject, Restore []directory.Token
	// Causes states why each target in Eject is ejected.
	Causes map[directory.Token]Cause
}

// eject adds a target to eject.
func (changes *Changes) eject(found outlier) {
	if changes.Causes == nil {
		changes.Causes = make(map[directory.Token]Cause)
	}
	changes.Eject = append(changes.Eject, found.token)
	changes.Causes[found.token] = found.cause
}

// Decide returns the changes to apply to the targets, which must be all registered targets. Only
// ready targets are ejected, and ejected targets that stop being ready are restored.
func (ejector *Ejector) Decide(targets []directory.Target, now time.Time) Changes {
	var changes Changes
	services := make(map[string][]*directory.Target)
	for index := range targets {
		target := &targets[index]
		if target.State == directory.TargetReady {
			services[target.Service] = append(services[target.Service], target)
		} else if target.Aside {
			changes.Restore = append(changes.Restore, target.Token)
		}
	}
	for _, serviceTargets := range services {
		ejector.decideService(serviceTargets, now, &changes)
	}
	slices.Sort(changes.Eject)
	slices.Sort(changes.Restore)
	ejector.removeStaleRecords(targets)
	return changes
}

// decideService adds the changes for the ready targets of one service.
func (ejector *Ejector) decideService(targets []*directory.Target, now time.Time, changes *Changes) {
	ejected := 0
	for _, target := range targets {
		if target.Aside {
			ejected++
			ejector.decideRestore(target.Token, now, changes)
		}
	}
	outliers := ejector.outliers(targets, now)
	available := maxEjected(len(targets)) - ejected
	for _, outlier := range outliers[:min(max(available, 0), len(outliers))] {
		ejector.recordFor(outlier.token).eject(now)
		changes.eject(outlier)
	}
}

// maxEjected returns how many targets of a service with this many ready targets may be ejected at
// the same time.
func maxEjected(targets int) int {
	if targets < minPoolSize {
		return 0
	}
	return max(1, int(maxEjectedShare*float64(targets)))
}

// decideRestore restores a target whose ejection has ended. A target that a previous leader ejected
// has no known end, so its first ejection starts now.
func (ejector *Ejector) decideRestore(token directory.Token, now time.Time, changes *Changes) {
	record := ejector.recordFor(token)
	switch {
	case record.ejectedUntil.IsZero():
		record.eject(now)
	case !now.Before(record.ejectedUntil):
		record.ejectedUntil = time.Time{}
		record.restoredAt = now
		record.steps = [windowSteps]counts{}
		changes.Restore = append(changes.Restore, token)
	}
}

// eject starts an ejection.
func (record *targetRecord) eject(now time.Time) {
	record.ejection *= 2
	if record.ejection == 0 || now.Sub(record.restoredAt) > ejectionResetAfter {
		record.ejection = firstEjection
	}
	record.ejection = min(record.ejection, maxEjection)
	record.ejectedUntil = now.Add(record.ejection)
}

// outlier is a target whose share of failed requests is far above the median of its service.
type outlier struct {
	token directory.Token
	share float64
	cause Cause
}

// outliers returns the outliers by any fault, each target once, in the order of faults and for
// each fault the worst one first.
func (ejector *Ejector) outliers(targets []*directory.Target, now time.Time) []outlier {
	var found []outlier
	for index := range faults {
		for _, candidate := range ejector.outliersBy(&faults[index], targets, now) {
			if !slices.ContainsFunc(found, func(other outlier) bool { return other.token == candidate.token }) {
				found = append(found, candidate)
			}
		}
	}
	return found
}

// outliersBy returns the outliers by one fault, the worst one first.
func (ejector *Ejector) outliersBy(fault *fault, targets []*directory.Target, now time.Time) []outlier {
	var shares []float64
	var outliers []outlier
	for _, target := range targets {
		if target.Aside {
			continue
		}
		total := ejector.recordFor(target.Token).sum(now)
		share := fault.share(total)
		shares = append(shares, share)
		if fault.failed(total) >= fault.minFailed && share >= fault.minShare {
			outliers = append(outliers, outlier{token: target.Token, share: share, cause: fault.cause})
		}
	}
	if len(outliers) == 0 {
		return nil
	}
	slices.Sort(shares)
	median := shares[len(shares)/2]
	outliers = slices.DeleteFunc(outliers, func(candidate outlier) bool { return candidate.share < outlierFactor*median })
	slices.SortFunc(outliers, func(left, right outlier) int {
		return cmp.Or(cmp.Compare(right.share, left.share), cmp.Compare(left.token, right.token))
	})
	return outliers
}

// recordsSlack is the number of stale records that are tolerated before a cleanup.
const recordsSlack = 64

// removeStaleRecords drops the records of targets that no longer exist.
func (ejector *Ejector) removeStaleRecords(targets []directory.Target) {
	if len(ejector.records) <= 2*len(targets)+recordsSlack {
		return
	}
	present := make(map[directory.Token]bool, len(targets))
	for index := range targets {
		present[targets[index].Token] = true
	}
	for token := range ejector.records {
		if !present[token] {
			delete(ejector.records, token)
		}
	}
}
