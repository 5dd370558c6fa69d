package steer

import "time"

// Proportion is a share of cases, from 0 to 1, with the number of cases behind it.
type Proportion struct {
	Share   float64
	Samples int
}

// NeverHeard is the age of counts that no other node told.
const NeverReported time.Duration = -1

// Evidence is what the open requests of one target rest on. It goes into the log line of a
// refusal, so that a target that is full can be told from one that only seems so.
type Evidence struct {
	// Own are the open requests that this balancer sent to the target, Others those that
	// other balancers told of, and HeardAgo how long ago anybody last told of any;
	// NeverHeard when nobody did.
	LocalOpen, RemoteOpen int
	ReportedAgo           time.Duration
	// Coming are the requests for the target that wait in front of this balancer's link. They
	// are not among the open ones.
	Pending int
	// Gaps is the share of data that came behind a gap, and Missed that of requests whose
	// answer was not seen. Both are high where routers spray the packets of one flow.
	Gaps, Unanswered Proportion
	// ServingFor is how long the balancer has had a configuration.
	ServingFor time.Duration
}

// evidence returns what the open requests of a target rest on.
func (table *Table) evidence(target *targetRecord, now time.Time) Evidence {
	found := table.options.Loads.Evidence(target.Token, now)
	found.ServingFor = now.Sub(table.servingSince)
	return found
}
