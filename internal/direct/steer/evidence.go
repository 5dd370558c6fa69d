package steer

import "time"

// Proportion is a share of samples, from 0 to 1, with the number of samples that it is based on.
type Proportion struct {
	Share   float64
	Samples int
}

// NeverReported is the value of Evidence.ReportedAgo when no other node reported counts.
const NeverReported time.Duration = -1

// Evidence is what the number of open requests at a target is based on. It is logged with a
// refusal, so that a full target can be distinguished from one that only seems full.
type Evidence struct {
	// LocalOpen is the number of open requests that this balancer sent to the target.
	// RemoteOpen is the number that other balancers reported, and ReportedAgo is how long ago
	// another node last reported counts; NeverReported if none did.
	LocalOpen, RemoteOpen int
	ReportedAgo           time.Duration
	// Pending is the number of requests for the target that wait in front of this balancer's
	// link. They are not among the open ones.
	Pending int
	// Gaps is the share of data packets that arrived behind a gap in the sequence, and
	// Unanswered the share of requests whose answer was not seen. Both are high where routers
	// spray the packets of one flow over several balancers.
	Gaps, Unanswered Proportion
	// ServingFor is how long the balancer has had a declared configuration.
	ServingFor time.Duration
}

// evidence returns what the number of open requests at a target is based on.
func (table *Table) evidence(target *targetRecord, now time.Time) Evidence {
	found := table.options.Loads.Evidence(target.Token, now)
	found.ServingFor = now.Sub(table.servingSince)
	return found
}
