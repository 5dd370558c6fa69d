package rollout

import (
	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
)

// LoadView has the latest known loads of the targets of this node's service, from the load digests
// of its relay. They lag by about two heartbeat intervals. It is safe for concurrent use.
type LoadView struct {
	loads *board.Table[model.TargetID, model.TargetLoad]
}

// NewLoadView returns an empty view.
func NewLoadView() *LoadView {
	return &LoadView{loads: board.NewTable[model.TargetID, model.TargetLoad]("target loads", board.HashNumber[model.TargetID])}
}

// Load returns the latest known load of target. The bool reports whether one is known.
func (view *LoadView) Load(target model.TargetID) (model.TargetLoad, bool) {
	return view.loads.Get(target)
}

// Put replaces the known loads of the targets in loads.
func (view *LoadView) Put(loads []model.TargetLoad) {
	for _, load := range loads {
		view.loads.Put(load.Target, load)
	}
}
