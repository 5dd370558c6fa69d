package explain

import (
	"fmt"
	"time"
)

// cause says how the flow ended.
func (story *story) cause(lines []Line) string {
	last := story.decisions[len(story.decisions)-1]
	switch {
	case last.Message == messageReset && last.Reason == "target_failed":
		return "The flow was reset because its target was found dead. " + story.failure(lines)
	case last.Message == messageReset && last.Reason == "overloaded":
		return fmt.Sprintf("The flow was refused before it opened: half of the new flows of its service and priority were expected to miss their objective or to find targets full, and the least busy one, "+
			"target %x, had %d open requests, so an answer was expected after %s only.", last.Target, last.Open, last.Expected)
	case last.Message == messageReset && last.Reason == "evacuated":
		return fmt.Sprintf("The flow was refused at once: all targets of its service are in zones that operators emptied, the latest by the order at revision %d. "+
			"It stays so until a zone is taken back, or targets register elsewhere.", last.EvacuatedSince)
	case last.Message == messageReset && last.Reason == "no_home":
		return fmt.Sprintf("The flow was refused at once: the route %s may be served in some regions alone, and its service has no target there.", last.Route)
	case last.Message == messageReset && last.Reason == "cold":
		return "The flow was refused at once: all targets of its service had just started or returned, and those whose rate this balancer holds were given what they bear."
	case last.Message == messageReset && last.Reason == "link_full":
		return fmt.Sprintf("The flow was refused before it opened: the balancer's own link was full, which would have carried its request after %s only. "+
			"The caller's next try goes to another balancer.", last.Expected)
	case last.Message == messageReset:
		return fmt.Sprintf("The flow was reset: no route has the address %s in version %d.", last.Route, last.Version)
	case last.Message == messageDropped:
		return droppedBecause(last)
	}
	if failure := story.failure(lines); failure != "" {
		return "The flow was opened, and its target died afterwards. " + failure
	}
	if late := story.lateStart(lines); late != "" {
		return late
	}
	if copies := story.copies(); copies > 0 {
		return fmt.Sprintf("The flow was opened at its choice %d: %s", copies+1, story.firstChoice(lines))
	}
	if ended, at := story.balancerEnded(lines); ended {
		return fmt.Sprintf("The flow was opened; its balancer ended at %s, so packets on the way to it were lost.", at.Format(time.RFC3339Nano))
	}
	return "The flow was opened at its first choice and every decision was in order; look at the target."
}

func droppedBecause(last Line) string {
	switch last.Reason {
	case "no_table":
		return "The balancer had just started and had no table yet."
	case "unknown_token":
		return "The balancer did not know the flow's token: it was behind, or the target was forgotten long ago."
	case "evacuated":
		return "All targets of the service are in zones that operators emptied, and the balancer's table was not confirmed lately, so it said nothing."
	case "no_target":
		return "No target of the pool took new flows."
	case "no_route_stale":
		return "The balancer had no route for the address, and its table was not confirmed lately, so it said nothing."
	default:
		return "The packet was dropped: " + last.Reason + "."
	}
}

// copies returns the highest copy of the opening packet that was placed.
func (story *story) copies() int {
	highest := 0
	for _, line := range story.decisions {
		if line.Opening && line.Message == messageOpened {
			highest = max(highest, line.Attempt)
		}
	}
	return highest
}

// lateStart tells that the flow had to wait for its balancer: the balancer had
// started shortly before, so that former copies of the opening packet reached no
// balancer, or the packet waited for the first table.
func (story *story) lateStart(lines []Line) string {
	first := story.decisions[0]
	waited := first.Message == messageDropped && first.Reason == "no_table"
	if !waited && (!first.Opening || first.Attempt == 0) {
		return ""
	}
	for _, line := range lines {
		started := line.Message == messageStarts && line.Node == first.Node
		if !started || line.Time.After(first.Time) || first.Time.Sub(line.Time) > around {
			continue
		}
		began := line.Time.Format(time.RFC3339Nano)
		if waited {
			return fmt.Sprintf("The flow waited %s for the first table of its balancer, which had started at %s.",
				story.last.Sub(story.first), began)
		}
		return fmt.Sprintf("The flow was opened by copy %d of its opening packet; no balancer took the former ones, and this one had started at %s.",
			first.Attempt, began)
	}
	return ""
}

// failure tells when and why one of the flow's targets was found dead.
func (story *story) failure(lines []Line) string {
	for _, line := range lines {
		if line.Message == messageFailed && story.targets[line.Target] && !line.Time.Before(story.first.Add(-around)) {
			return fmt.Sprintf("Member %s found target %x dead at %s: %s.", line.Node, line.Target, line.Time.Format(time.RFC3339Nano), line.Cause)
		}
	}
	return ""
}

// firstChoice tells why the first choice of the opening packet did not answer.
func (story *story) firstChoice(lines []Line) string {
	for _, line := range lines {
		if line.Message == messageProbed && story.tokens[line.Token] && story.near(line.Time) {
			return fmt.Sprintf("the former one did not answer in time, and a probe was %s.", line.Outcome)
		}
	}
	return "the former one did not answer in time, because it was full, or a packet was lost, or no balancer ran where the first copy went."
}

func (story *story) balancerEnded(lines []Line) (bool, time.Time) {
	for _, line := range lines {
		restarted := line.Message == messageStarts && line.Time.After(story.first)
		if (restarted || line.Message == messageEnds) && story.balancers[line.Node] && story.near(line.Time) {
			return true, line.Time
		}
	}
	return false, time.Time{}
}
