package outcome

import (
	"cmp"
	"slices"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
)

const (
	// windowSteps times stepLength is how far back outcomes count.
	windowSteps = 6
	stepLength  = 500 * time.Millisecond
	// timesWorse is how much worse than the middle one of its service a target must
	// be to be set aside: when most are bad, the cause is elsewhere.
	timesWorse = 5
	// mostShare is the largest share of a service's targets that are set aside
	// at a time; one may be when there are smallPool or more.
	mostShare = 0.2
	smallPool = 3
	// firstAside is how long a target is set aside at first. Each further time
	// doubles it up to longestAside; calmAfter without one forgets it.
	firstAside   = 3 * time.Second
	longestAside = 30 * time.Second
	calmAfter    = time.Minute
)

// counts are requests by their outcome.
type counts struct {
	answered, unanswered float64
	// hasty are those of the answered ones that were answered as errors are.
	hasty float64
}

func (sum *counts) add(other counts) {
	sum.answered += other.answered
	sum.unanswered += other.unanswered
	sum.hasty += other.hasty
}

// Cause tells why a target is set aside.
type Cause string

// The causes.
const (
	CauseUnanswered Cause = "it leaves requests unanswered"
	CauseHasty      Cause = "it answers far sooner and shorter than others, as with errors"
)

// fault is one way in which a target may be bad.
type fault struct {
	cause Cause
	// bad returns the requests that show it.
	bad func(sum counts) float64
	// least is the number of them in the window, and leastShare their share of all
	// requests, below which no target is set aside.
	least, leastShare float64
}

// faults are the ways in which a target may be bad. Single answers are hasty by chance,
// and some requests of any service are answered by errors, so that those must be most of
// a target's answers.
var faults = []fault{
	{cause: CauseUnanswered, bad: func(sum counts) float64 { return sum.unanswered }, least: 4, leastShare: 0.1},
	{cause: CauseHasty, bad: func(sum counts) float64 { return sum.hasty }, least: 6, leastShare: 0.5},
}

// share returns the part of the requests that show a fault.
func (fault *fault) share(sum counts) float64 {
	if total := sum.answered + sum.unanswered; total > 0 {
		return fault.bad(sum) / total
	}
	return 0
}

// record is what the judge remembers of a target.
type record struct {
	steps [windowSteps]counts
	// step is the number of the step that the latest counts belong to.
	step int64
	// until is when a target that is set aside returns; aside is how long it is
	// set aside this time.
	until time.Time
	aside time.Duration
	// calmFrom is when the last time aside ended.
	calmFrom time.Time
}

// Judge decides which targets are set aside. It is pure: it has no clock, and
// its decisions are the caller's to carry out. It is for one goroutine.
type Ejector struct {
	records map[directory.Token]*record
}

// NewJudge returns a judge that knows nothing yet.
func NewEjector() *Ejector { return &Ejector{records: make(map[directory.Token]*record)} }

func stepOf(now time.Time) int64 { return now.UnixNano() / int64(stepLength) }

func (judge *Ejector) record(token directory.Token) *record {
	known := judge.records[token]
	if known == nil {
		known = &record{}
		judge.records[token] = known
	}
	return known
}

// forward drops the steps that are too old.
func (known *record) forward(now time.Time) {
	step := stepOf(now)
	for passed := min(step-known.step, windowSteps); passed > 0; passed-- {
		known.steps[(step-passed+1)%windowSteps] = counts{}
	}
	known.step = step
}

func (known *record) sum(now time.Time) counts {
	known.forward(now)
	var total counts
	for _, step := range known.steps {
		total.add(step)
	}
	return total
}

// Take takes a balancer's counts in.
func (judge *Ejector) AddReport(report feed.OutcomeReport, now time.Time) {
	for _, counted := range report.Counts {
		known := judge.record(counted.Token)
		known.forward(now)
		known.steps[known.step%windowSteps].add(counts{
			answered: float64(counted.Answered), unanswered: float64(counted.Unanswered), hasty: float64(counted.Hasty),
		})
	}
}

// Verdict is what the judge decided.
type Changes struct {
	// Aside are targets that get no new flows from now on, Back those that do
	// again.
	Eject, Restore []directory.Token
	// Causes has why each of Aside is set aside.
	Causes map[directory.Token]Cause
}

// add takes in that a target is set aside.
func (verdict *Changes) add(bad suspect) {
	if verdict.Causes == nil {
		verdict.Causes = make(map[directory.Token]Cause)
	}
	verdict.Eject = append(verdict.Eject, bad.token)
	verdict.Causes[bad.token] = bad.cause
}

// Decide returns what is to change among the targets.
func (judge *Ejector) Decide(targets []directory.Target, now time.Time) Changes {
	var verdict Changes
	services := make(map[string][]*directory.Target)
	for index := range targets {
		target := &targets[index]
		if target.State == directory.TargetReady {
			services[target.Service] = append(services[target.Service], target)
		} else if target.Aside {
			verdict.Restore = append(verdict.Restore, target.Token)
		}
	}
	for _, members := range services {
		judge.decideService(members, now, &verdict)
	}
	slices.Sort(verdict.Eject)
	slices.Sort(verdict.Restore)
	judge.forget(targets)
	return verdict
}

func (judge *Ejector) decideService(targets []*directory.Target, now time.Time, verdict *Changes) {
	aside := 0
	for _, target := range targets {
		if target.Aside {
			aside++
			judge.decideReturn(target.Token, now, verdict)
		}
	}
	suspects := judge.worse(targets, now)
	room := roomFor(len(targets)) - aside
	for _, one := range suspects[:min(max(room, 0), len(suspects))] {
		judge.record(one.token).setAside(now)
		verdict.add(one)
	}
}

// roomFor returns how many of a number of targets may be set aside.
func roomFor(targets int) int {
	if targets < smallPool {
		return 0
	}
	return max(1, int(mostShare*float64(targets)))
}

// decideReturn brings a target back after its time. One that another leader set
// aside gets the first time from now on.
func (judge *Ejector) decideReturn(token directory.Token, now time.Time, verdict *Changes) {
	known := judge.record(token)
	switch {
	case known.until.IsZero():
		known.setAside(now)
	case !now.Before(known.until):
		known.until = time.Time{}
		known.calmFrom = now
		known.steps = [windowSteps]counts{}
		verdict.Restore = append(verdict.Restore, token)
	}
}

func (known *record) setAside(now time.Time) {
	known.aside *= 2
	if known.aside == 0 || now.Sub(known.calmFrom) > calmAfter {
		known.aside = firstAside
	}
	known.aside = min(known.aside, longestAside)
	known.until = now.Add(known.aside)
}

// suspect is a target with the share of its requests that show a fault.
type suspect struct {
	token directory.Token
	share float64
	cause Cause
}

// worse returns the targets that are far worse than the middle one, each once, the worst
// of each fault first.
func (judge *Ejector) worse(targets []*directory.Target, now time.Time) []suspect {
	var found []suspect
	for index := range faults {
		for _, one := range judge.worseBy(&faults[index], targets, now) {
			if !slices.ContainsFunc(found, func(other suspect) bool { return other.token == one.token }) {
				found = append(found, one)
			}
		}
	}
	return found
}

// worseBy returns the targets that are far worse than the middle one by one fault, the
// worst first.
func (judge *Ejector) worseBy(fault *fault, targets []*directory.Target, now time.Time) []suspect {
	var shares []float64
	var suspects []suspect
	for _, target := range targets {
		if target.Aside {
			continue
		}
		own := judge.record(target.Token).sum(now)
		share := fault.share(own)
		shares = append(shares, share)
		if fault.bad(own) >= fault.least && share >= fault.leastShare {
			suspects = append(suspects, suspect{token: target.Token, share: share, cause: fault.cause})
		}
	}
	if len(suspects) == 0 {
		return nil
	}
	slices.Sort(shares)
	middle := shares[len(shares)/2]
	suspects = slices.DeleteFunc(suspects, func(one suspect) bool { return one.share < timesWorse*middle })
	slices.SortFunc(suspects, func(left, right suspect) int {
		return cmp.Or(cmp.Compare(right.share, left.share), cmp.Compare(left.token, right.token))
	})
	return suspects
}

// recordsSlack is how many records of forgotten targets are left alone.
const recordsSlack = 64

// forget drops the records of targets that are gone.
func (judge *Ejector) forget(targets []directory.Target) {
	if len(judge.records) <= 2*len(targets)+recordsSlack {
		return
	}
	present := make(map[directory.Token]bool, len(targets))
	for index := range targets {
		present[targets[index].Token] = true
	}
	for token := range judge.records {
		if !present[token] {
			delete(judge.records, token)
		}
	}
}
