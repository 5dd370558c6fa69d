package rollout

import "merlinpaddle/internal/model"

// History is a bounded log of the latest deltas that led to the current configuration. It is not
// safe for concurrent use.
type History struct {
	deltas []model.Delta
}

// Append adds a delta. A delta that does not start where the log ends, as after a snapshot,
// replaces the log. A log that exceeds historyCapacity is cut to its latest historyCapacity/2
// deltas.
func (history *History) Append(delta model.Delta) {
	if count := len(history.deltas); count > 0 && history.deltas[count-1].To != delta.From {
		history.deltas = nil
	}
	history.deltas = append(history.deltas, delta)
	if len(history.deltas) > historyCapacity {
		history.deltas = append([]model.Delta(nil), history.deltas[len(history.deltas)-historyCapacity/2:]...)
	}
}

// Reset empties the log.
func (history *History) Reset() { history.deltas = nil }

// Since returns the deltas that lead from revision to the end of the log. The bool reports whether
// the log has a delta that starts at revision.
func (history *History) Since(revision model.Revision) ([]model.Delta, bool) {
	for index := len(history.deltas) - 1; index >= 0; index-- {
		if history.deltas[index].From == revision {
			return history.deltas[index:], true
		}
		if history.deltas[index].From < revision {
			break
		}
	}
	return nil, false
}
