package directory

import (
	"bytes"
	"encoding/gob"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/model"
)

// savedState is the whole directory as it is stored.
type savedState struct {
	Revision        model.Revision
	Configuration   declared.Configuration
	ConfigurationAt model.Revision
	Targets         []Target
	NextToken       Token
	// Evacuations and EvacuationsAt are missing in snapshots of earlier programs,
	// which knew of none.
	Evacuations   []Evacuation
	EvacuationsAt model.Revision
}

// Snapshot implements replica.StateMachine.
func (directory *Directory) Snapshot() ([]byte, error) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return directory.encodeState()
}

func (directory *Directory) encodeState() ([]byte, error) {
	saved := savedState{
		Revision:        directory.revision,
		Configuration:   *directory.configuration,
		ConfigurationAt: directory.configurationAt,
		Targets:         make([]Target, 0, len(directory.targets.ordered)),
		NextToken:       directory.nextToken,
		Evacuations:     directory.evacuations.list(),
		EvacuationsAt:   directory.evacuations.changedAt,
	}
	for _, target := range directory.targets.ordered {
		saved.Targets = append(saved.Targets, *target)
	}
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(saved)
	return buffer.Bytes(), err
}

// Restore implements replica.StateMachine. Readers that are behind the
// restored revision get everything.
func (directory *Directory) Restore(snapshot []byte) error {
	var saved savedState
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&saved); err != nil {
		return err
	}
	directory.lock.Lock()
	defer directory.lock.Unlock()
	directory.clear()
	directory.revision = saved.Revision
	directory.configuration = &saved.Configuration
	directory.configurationAt = saved.ConfigurationAt
	directory.limitsAt = saved.ConfigurationAt
	directory.takeColdLimits()
	directory.removedFloor = saved.Revision
	directory.nextToken = saved.NextToken
	for _, route := range saved.Configuration.Routes {
		directory.routes[route.Address] = routeRecord{route: route, revision: saved.ConfigurationAt}
	}
	directory.targets.restore(saved.Targets)
	directory.evacuations.restore(saved.Evacuations, saved.EvacuationsAt)
	return nil
}

// Digest implements replica.StateMachine.
func (directory *Directory) Digest() uint64 {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	data, err := directory.encodeState()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
