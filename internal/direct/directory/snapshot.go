package directory

import (
	"bytes"
	"encoding/gob"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/model"
)

// savedState is the directory as a snapshot stores it.
type savedState struct {
	Revision        model.Revision
	Configuration   declared.Configuration
	ConfigurationAt model.Revision
	Targets         []Target
	NextToken       Token
	// Evacuations and EvacuationsAt are missing in snapshots of earlier versions of the program,
	// which had no evacuations.
	Evacuations   []Evacuation
	EvacuationsAt model.Revision
	// Departures are missing in snapshots of earlier versions of the program, too.
	Departures []keptDeparture
}

// Snapshot implements replica.StateMachine.
func (directory *Directory) Snapshot() ([]byte, error) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return directory.encodeState()
}

// encodeState returns the encoded state. Equal states must have equal encodings, because Digest
// compares them.
func (directory *Directory) encodeState() ([]byte, error) {
	saved := savedState{
		Revision:        directory.revision,
		Configuration:   *directory.configuration,
		ConfigurationAt: directory.configurationChangedAt,
		Targets:         make([]Target, 0, len(directory.targets.byToken)),
		NextToken:       directory.nextToken,
		Evacuations:     directory.evacuations.list(),
		EvacuationsAt:   directory.evacuations.changedAt,
		Departures:      directory.departures.list(),
	}
	for _, target := range directory.targets.byToken {
		saved.Targets = append(saved.Targets, *target)
	}
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(saved)
	return buffer.Bytes(), err
}

// Restore implements replica.StateMachine. Readers from before the restored revision get the full
// table.
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
	directory.configurationChangedAt = saved.ConfigurationAt
	directory.limitsChangedAt = saved.ConfigurationAt
	directory.collectColdLimits()
	directory.tombstoneFloor = saved.Revision
	directory.nextToken = saved.NextToken
	for _, route := range saved.Configuration.Routes {
		directory.routes[route.Address] = routeRecord{route: route, revision: saved.ConfigurationAt}
	}
	directory.targets.restore(saved.Targets)
	directory.evacuations.restore(saved.Evacuations, saved.EvacuationsAt)
	directory.departures.restore(saved.Departures)
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
