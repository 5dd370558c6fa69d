package state

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/gob"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// snapshotMagic is the start of every snapshot. It contains the format version.
const snapshotMagic = "merlinpaddle-state-1\n"

// checksumBytes is the length of the xxHash checksum that follows snapshotMagic.
const checksumBytes = 8

// image is the complete state as plain values, in the form that is encoded in
// snapshots. All slices have a fixed order.
type image struct {
	Core          core
	Configuration *model.Configuration
	Templates     []*Template
	Tenants       []*Tenant
	Services      []*ServiceRecord
	Targets       []TargetRecord
	Answers       []answer
	Claims        []claimRow
}

// image returns the complete state. The caller must hold the lock.
func (machine *Machine) image() *image {
	view := machine.View()
	return &image{
		Core:          machine.core,
		Configuration: view.Configuration,
		Templates:     view.Templates(),
		Tenants:       view.Tenants(),
		Services:      view.Services(),
		Targets:       view.targetRecords(),
		Answers:       machine.answers.list(),
		Claims:        machine.claims.list(),
	}
}

// targetRecords returns all target records, sorted by ID.
func (view *View) targetRecords() []TargetRecord {
	return view.targets.sorted(func(left, right TargetRecord) int { return cmp.Compare(left.ID, right.ID) })
}

// Snapshot encodes the complete state as snapshotMagic, a big-endian checksum, and the
// gob stream that the checksum covers.
func (machine *Machine) Snapshot() ([]byte, error) {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(machine.image()); err != nil {
		return nil, faults.New(faults.CodeInternalFault, "encode the snapshot: %v", err)
	}
	snapshot := []byte(snapshotMagic)
	snapshot = binary.BigEndian.AppendUint64(snapshot, xxhash.Sum64(body.Bytes()))
	return append(snapshot, body.Bytes()...), nil
}

// Restore replaces the complete state with a snapshot. If the snapshot is invalid, it
// returns an error and leaves the state unchanged.
func (machine *Machine) Restore(snapshot []byte) error {
	restored, err := decodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	machine.lock.Lock()
	defer machine.lock.Unlock()
	machine.install(restored)
	return nil
}

// CheckSnapshot returns an error if the snapshot cannot be restored.
func CheckSnapshot(snapshot []byte) error {
	_, err := decodeSnapshot(snapshot)
	return err
}

// decodeSnapshot checks and decodes a snapshot. Its errors have CodeSnapshotInvalid.
func decodeSnapshot(snapshot []byte) (*image, error) {
	rest, found := bytes.CutPrefix(snapshot, []byte(snapshotMagic))
	if !found {
		return nil, faults.New(faults.CodeSnapshotInvalid, "this is no state snapshot of a version that is known")
	}
	if len(rest) < checksumBytes {
		return nil, faults.New(faults.CodeSnapshotInvalid, "the snapshot ends within its header")
	}
	checksum, body := binary.BigEndian.Uint64(rest), rest[checksumBytes:]
	if xxhash.Sum64(body) != checksum {
		return nil, faults.New(faults.CodeSnapshotInvalid, "the snapshot does not match its checksum")
	}
	restored := &image{}
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(restored); err != nil {
		return nil, faults.New(faults.CodeSnapshotInvalid, "decode the snapshot: %v", err)
	}
	restored.normalize()
	return restored, nil
}

// normalize restores the empty maps, which gob does not encode.
func (restored *image) normalize() {
	empty := model.NewConfiguration()
	if restored.Configuration == nil {
		restored.Configuration = empty
	}
	configuration := restored.Configuration
	if configuration.Services == nil {
		configuration.Services = empty.Services
	}
	if configuration.Targets == nil {
		configuration.Targets = empty.Targets
	}
	if configuration.Buckets == nil {
		configuration.Buckets = empty.Buckets
	}
}

// install replaces the state with the image. The caller must hold the lock.
func (machine *Machine) install(restored *image) {
	machine.core = restored.Core
	machine.answers = newAnswerTable()
	for _, row := range restored.Answers {
		machine.answers.add(row)
	}
	machine.claims = newClaimTable()
	for _, row := range restored.Claims {
		machine.claims.put(row)
	}
	machine.view.Store(restored.view())
	machine.deltas.reset(restored.Configuration.Revision)
	machine.notifier.Notify()
}

// view returns a view of the image, with its indexes rebuilt.
func (restored *image) view() *View {
	view := newView()
	view.Configuration = restored.Configuration
	for _, template := range restored.Templates {
		view.templates.set(template.Name, template)
	}
	for _, tenant := range restored.Tenants {
		view.tenants.set(tenant.Name, tenant)
	}
	for _, service := range restored.Services {
		view.services.set(service.Key, service)
		view.listeners.set(listenerOf(restored.Configuration.Services[service.ID]), service.Key)
	}
	for _, record := range restored.Targets {
		view.targets.set(record.ID, record)
		view.targetNames.set(record.Key.Name, record.ID)
		view.agents.set(restored.Configuration.Targets[record.ID].Agent, record.ID)
	}
	view.markShared()
	return view
}

// apply replaces an empty state with a backup. Later revisions are higher than those of
// the backup, so that nodes of the lost group accept the restored state.
func (command RestoreState) apply(transaction *transaction) Result {
	if refusal, matches := command.checkBase(0); !matches {
		return refusal
	}
	machine := transaction.machine
	if !transaction.view.empty() || machine.core.LastService != 0 {
		return refuse(faults.CodeGroupNotEmpty, "the group has state already")
	}
	restored, err := decodeSnapshot(command.Snapshot)
	if err != nil {
		return refuse(faults.CodeOf(err), "%v", err)
	}
	restored.Core = restored.Core.continueAfter(machine.core)
	transaction.replacement = restored
	return Result{Revision: restored.Core.Applied + restored.Core.Offset}
}

// continueAfter returns the restored core, adapted to the log of the running group: the
// applied index is that of the running log, the offset is the last revision of the
// backup, and the clock is the later of both.
func (restored core) continueAfter(running core) core {
	last := restored.Applied + restored.Offset
	restored.Offset = last
	restored.Applied = running.Applied
	if running.Clock.After(restored.Clock) {
		restored.Clock = running.Clock
	}
	return restored
}

// Digest returns a checksum of the complete state. Rows are hashed as JSON in a fixed
// order, because the JSON encoding, unlike gob, is the same on all members.
func (machine *Machine) Digest() uint64 {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	captured := machine.image()
	hash := xxhash.New()
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, captured.Configuration.Digest()))
	encoder := json.NewEncoder(hash)
	writeRows(encoder, []core{captured.Core})
	writeRows(encoder, captured.Templates)
	writeRows(encoder, captured.Tenants)
	writeRows(encoder, captured.Services)
	writeRows(encoder, captured.Targets)
	writeRows(encoder, captured.Answers)
	writeRows(encoder, captured.Claims)
	return hash.Sum64()
}

// writeRows writes one table: its length and then one line per row.
func writeRows[Row any](encoder *json.Encoder, rows []Row) {
	for _, line := range append([]any{len(rows)}, anyRows(rows)...) {
		if err := encoder.Encode(line); err != nil {
			// Rows contain only types that can be encoded as JSON.
			panic("state: digest: " + err.Error())
		}
	}
}

// anyRows converts rows to values that can share a slice with the table's length.
func anyRows[Row any](rows []Row) []any {
	lines := make([]any, 0, len(rows))
	for _, row := range rows {
		lines = append(lines, row)
	}
	return lines
}
