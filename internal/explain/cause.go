package explain

import (
	"fmt"
	"time"
)

// cause returns how the flow ended, in words.
func (history *history) cause(lines []Line) string {
	last := history.decisions[len(history.decisions)-1]
	switch {
	case last.Message == messageReset && last.Reason == "target_failed":
		return "The flow was reset because its target had failed. " + history.targetFailure(lines)
	case last.Message == messageReset && last.Reason == "overloaded":
		return fmt.Sprintf("The flow was refused before it opened: at least half of the new flows of its service and priority were expected to miss their objective or found targets saturated, and the least busy target, "+
			"target %x, had %d open requests, so an answer was expected only after %s.", last.Target, last.Open, last.Expected)
	case last.Message == messageReset && last.Reason == "evacuated":
		return fmt.Sprintf("The flow was refused at once: all targets of its service are in zones that operators evacuated, the latest by the order at revision %d. "+
			"New flows are refused until an evacuation ends or targets register in other zones.", last.EvacuatedSince)
	case last.Message == messageReset && last.Reason == "no_home":
		return fmt.Sprintf("The flow was refused at once: the route %s may be served in certain regions only, and its service has no target in them.", last.Route)
	case last.Message == messageReset && last.Reason == "cold":
		return "The flow was refused at once: all targets of its service had just started or returned, and those that this balancer paces were already given as many new flows as they can handle."
	case last.Message == messageReset && last.Reason == "link_full":
		return fmt.Sprintf("The flow was refused before it opened: the balancer's own link was busy and would have transmitted its request only after %s. "+
			"The caller's next attempt reaches another balancer.", last.Expected)
	case last.Message == messageReset:
		return fmt.Sprintf("The flow was reset: no route has the address %s in version %d.", last.Route, last.Version)
	case last.Message == messageDropped:
		return dropCause(last)
	}
	if failure := history.targetFailure(lines); failure != "" {
		return "The flow was opened, and its target failed afterwards. " + failure
	}
	if delay := history.delayByBalancerStart(lines); delay != "" {
		return delay
	}
	if attempt := history.highestAttempt(); attempt > 0 {
		return fmt.Sprintf("The flow was opened at target choice %d: %s", attempt+1, history.failureOfPreviousChoice(lines))
	}
	if ended, at := history.balancerEnded(lines); ended {
		return fmt.Sprintf("The flow was opened; its balancer stopped at %s, so packets in transit to it were lost.", at.Format(time.RFC3339Nano))
	}
	return "The flow was opened at its first choice, and nothing went wrong at the balancer; check the target."
}

// dropCause returns why the packet was dropped, in words.
func dropCause(last Line) string {
	switch last.Reason {
	case "no_table":
		return "The balancer had just started and had no table yet."
	case "unknown_token":
		return "The balancer did not know the flow's token: its table was out of date, or the target was removed long ago."
	case "evacuated":
		return "All targets of the service are in zones that operators evacuated, and the balancer's table was not confirmed recently, so it sent no reset."
	case "no_target":
		return "No target of the pool accepted new flows."
	case "route_removed":
		return "The flow's route was removed, and the balancer waited for a confirmation of its table before it sent a reset."
	case "no_route_stale":
		return "The balancer had no route for the address, and its table was not confirmed recently, so it sent no reset."
	default:
		return "The packet was dropped: " + last.Reason + "."
	}
}

// highestAttempt returns the highest retransmission number of the opening packet that a balancer
// forwarded to a target; zero is the first copy.
func (history *history) highestAttempt() int {
	highest := 0
	for _, line := range history.decisions {
		if line.Opening && line.Message == messageOpened {
			highest = max(highest, line.Attempt)
		}
	}
	return highest
}

// delayByBalancerStart returns the explanation of a flow that had to wait for its balancer, or an
// empty text. The balancer had started shortly before, so that earlier copies of the opening packet
// reached no balancer, or the balancer dropped the packet because it had no table yet.
func (history *history) delayByBalancerStart(lines []Line) string {
	first := history.decisions[0]
	waited := first.Message == messageDropped && first.Reason == "no_table"
	if !waited && (!first.Opening || first.Attempt == 0) {
		return ""
	}
	for _, line := range lines {
		started := line.Message == messageStarts && line.Node == first.Node
		if !started || line.Time.After(first.Time) || first.Time.Sub(line.Time) > eventWindow {
			continue
		}
		began := line.Time.Format(time.RFC3339Nano)
		if waited {
			return fmt.Sprintf("The flow waited %s for the first table of its balancer, which had started at %s.",
				history.last.Sub(history.first), began)
		}
		return fmt.Sprintf("The flow was opened by retransmission %d of its opening packet; no balancer received the earlier copies, and this one had started at %s.",
			first.Attempt, began)
	}
	return ""
}

// targetFailure returns when and why one of the flow's targets was found failed, or an empty text
// if none was.
func (history *history) targetFailure(lines []Line) string {
	for _, line := range lines {
		if line.Message == messageFailed && history.targets[line.Target] && !line.Time.Before(history.first.Add(-eventWindow)) {
			return fmt.Sprintf("Member %s found target %x failed at %s: %s.", line.Node, line.Target, line.Time.Format(time.RFC3339Nano), line.Cause)
		}
	}
	return ""
}

// failureOfPreviousChoice returns why the previously chosen target did not answer the opening packet.
func (history *history) failureOfPreviousChoice(lines []Line) string {
	for _, line := range lines {
		if line.Message == messageProbed && history.tokens[line.Token] && history.inWindow(line.Time) {
			return fmt.Sprintf("the previous target did not answer in time; the result of a probe: %s.", line.Outcome)
		}
	}
	return "the previous target did not answer in time, because it was full, a packet was lost, or the first copy was sent to a balancer that was not running."
}

// balancerEnded reports whether one of the flow's balancers stopped or restarted, and when.
func (history *history) balancerEnded(lines []Line) (bool, time.Time) {
	for _, line := range lines {
		restarted := line.Message == messageStarts && line.Time.After(history.first)
		if (restarted || line.Message == messageEnds) && history.balancers[line.Node] && history.inWindow(line.Time) {
			return true, line.Time
		}
	}
	return false, time.Time{}
}
