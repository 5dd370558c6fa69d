package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// history is a log as a slice of numbers, which gopter can shrink. commandFrom turns
// each number into a command that fits the state so far, so that the command is likely
// to be applied.
type history []uint32

// choiceStream derives a sequence of choices from a number.
type choiceStream uint32

// next returns the next choice from 0 to count-1.
func (choices *choiceStream) next(count int) int {
	choice := uint32(*choices) % uint32(count)
	*choices /= choiceStream(count)
	return int(choice)
}

// commandFrom returns the command that a number of a history stands for.
func commandFrom(view *View, number uint32) Command {
	choices := choiceStream(number)
	kind := choices.next(11)
	service := view.randomService(&choices)
	change := Change{Base: service.Revision, Key: fmt.Sprint("key-", choices.next(200)), Fingerprint: uint64(choices.next(2))}
	if choices.next(8) == 0 {
		change.Base++
	}
	target := view.randomTarget(&choices, service)
	switch kind {
	case 0, 1, 2:
		command := putServiceWithRandomTargets(&choices, service.Key)
		command.Change = change
		return command
	case 3:
		return DeleteService{Change: change, Tenant: service.Key.Tenant, Name: service.Key.Name, Force: choices.next(3) == 0}
	case 4:
		change.Base = target.Revision
		return DrainTarget{Change: change, Target: target.Key}
	case 5:
		change.Base = target.Revision
		return UndrainTarget{Change: change, Target: target.Key}
	case 6:
		return ObserveTargets{Observations: []TargetObservation{{Target: target.ID, Incarnation: model.Incarnation(choices.next(4)), Alive: choices.next(2) == 0}}}
	case 7, 8:
		return randomEmptyReport(view, &choices)
	case 9:
		return claimBy(model.NodeName(target.Key.Name), model.Incarnation(choices.next(3)), uint64(choices.next(3)), fmt.Sprint(choices.next(4)))
	default:
		command := outcomeBy(model.NodeName(target.Key.Name), model.Incarnation(choices.next(3)), uint64(choices.next(3)), fmt.Sprint(choices.next(4)))
		command.Outcome.NotRun = choices.next(2) == 0
		return command
	}
}

// randomService chooses one of four service keys. If there is no such service, the
// record contains only the key.
func (view *View) randomService(choices *choiceStream) *ServiceRecord {
	keys := []ServiceKey{{"riga", "tipline"}, {"riga", "ledger"}, {"teranga", "resa"}, {"teranga", "depot"}}
	key := keys[choices.next(len(keys))]
	if record, known := view.Service(key); known {
		return record
	}
	return &ServiceRecord{Key: key}
}

// randomTarget chooses a target of the service, or returns an empty record if it has
// none.
func (view *View) randomTarget(choices *choiceStream, service *ServiceRecord) TargetRecord {
	if len(service.Targets) == 0 {
		return TargetRecord{}
	}
	record, _ := view.TargetRecord(service.Targets[choices.next(len(service.Targets))])
	return record
}

// putServiceWithRandomTargets returns a change of the service to a random subset of five
// targets. "tipline" and "ledger" have the same address, so that they conflict.
func putServiceWithRandomTargets(choices *choiceStream, key ServiceKey) PutService {
	var targets []string
	for number := range 5 {
		if choices.next(2) == 0 {
			targets = append(targets, fmt.Sprintf("%s-%d", key.Name, number))
		}
	}
	addresses := map[string]string{"tipline": "192.0.2.1:443", "ledger": "192.0.2.1:443", "resa": "192.0.2.2:443", "depot": "192.0.2.3:443"}
	return putService(key.Tenant, key.Name, 0, addresses[key.Name], targets...)
}

// randomEmptyReport reports the earlier targets of some or all buckets as empty.
func randomEmptyReport(view *View, choices *choiceStream) ReportEmpty {
	var command ReportEmpty
	every := 1 + choices.next(3)
	for _, record := range view.Services() {
		buckets := view.Configuration.Buckets[record.ID]
		for index := range buckets.Heads {
			for _, earlier := range buckets.Earlier[model.BucketIndex(index)] {
				if index%every == 0 {
					command.Reports = append(command.Reports, model.BucketEmpty{Service: record.ID, Target: earlier.Target,
						Bucket: model.BucketIndex(index), At: view.Configuration.Revision})
				}
			}
		}
	}
	return command
}

// memberWithTenants returns a member with the template "web" and the tenants riga and
// teranga.
func memberWithTenants(t testing.TB) *member {
	member := newMember(t)
	member.must(PutTemplate{Name: "web", Spec: webTemplate()})
	member.must(PutTenant{Name: "riga"})
	member.must(PutTenant{Name: "teranga"})
	return member
}

// entry is one entry of a log.
type entry struct {
	index   model.Revision
	at      time.Time
	command []byte
}

// pauseBefore returns the time between the previous command and the one of the number.
// It is mostly short, and sometimes long enough that claims and answers expire.
func pauseBefore(number uint32) time.Duration {
	if number%7 == 0 {
		return 20 * time.Hour
	}
	return time.Duration(number%3) * 5 * time.Minute
}

// applyHistory applies a history to the member and returns its log.
func (member *member) applyHistory(numbers history) []entry {
	var log []entry
	for _, number := range numbers {
		member.now = member.now.Add(pauseBefore(number))
		encoded, err := EncodeCommand(commandFrom(member.machine.View(), number))
		require.NoError(member.t, err)
		member.index++
		log = append(log, entry{index: member.index, at: member.now, command: encoded})
		member.machine.Apply(member.index, member.now, encoded)
	}
	return log
}

// checkProperty checks that the property holds for random histories.
func checkProperty(t *testing.T, seed int64, name string, property func(history) bool) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 40
	parameters.MaxSize = 60
	properties := gopter.NewProperties(parameters)
	generator := gen.SliceOf(gen.UInt32()).Map(func(numbers []uint32) history { return numbers })
	properties.Property(name, prop.ForAll(property, generator))
	properties.TestingRun(t)
}

func TestMembersApplyingTheSameLogHaveEqualDigests(t *testing.T) {
	checkProperty(t, 11, "members have equal digests", func(numbers history) bool {
		first, second := memberWithTenants(t), memberWithTenants(t)
		for _, entry := range first.applyHistory(numbers) {
			second.machine.Apply(entry.index, entry.at.In(time.FixedZone("other", 3600)), entry.command)
		}
		return first.machine.Digest() == second.machine.Digest()
	})
}

func TestRestoredMemberContinuesIdentically(t *testing.T) {
	checkProperty(t, 12, "a restored member continues identically", func(numbers history) bool {
		original, restored := memberWithTenants(t), NewMachine()
		log := original.applyHistory(numbers)
		replayed := memberWithTenants(t)
		for index, entry := range log {
			if index == len(log)/2 {
				snapshot, err := replayed.machine.Snapshot()
				require.NoError(t, err)
				require.NoError(t, restored.Restore(snapshot))
				require.Equal(t, replayed.machine.Digest(), restored.Digest())
			}
			expected := replayed.machine.Apply(entry.index, entry.at, entry.command)
			if index >= len(log)/2 {
				require.Equal(t, expected, restored.Apply(entry.index, entry.at, entry.command))
			}
		}
		return len(log) == 0 || restored.Digest() == original.machine.Digest()
	})
}

func TestResentCommandsChangeNothing(t *testing.T) {
	checkProperty(t, 13, "a resent operator command gets its first answer", func(numbers history) bool {
		member := memberWithTenants(t)
		for _, number := range numbers {
			command, isOperator := commandFrom(member.machine.View(), number).(operatorCommand)
			if !isOperator {
				member.applyHistory(history{number})
				continue
			}
			first := member.run(command)
			configuration := member.machine.Configuration()
			resent := member.run(command)
			keyReused := first.Code == resent.Code && !resent.Replayed
			first.Replayed = true
			if !keyReused && !equalResults(first, resent) || configuration != member.machine.Configuration() {
				return false
			}
		}
		return true
	})
}

// equalResults reports whether two results look the same to an operator.
func equalResults(left, right Result) bool {
	return left.Code == right.Code && left.Revision == right.Revision && left.Service == right.Service &&
		left.Version == right.Version && left.Message == right.Message && left.Replayed == right.Replayed
}

func TestStateInvariants(t *testing.T) {
	checkProperty(t, 14, "invariants hold after every command", func(numbers history) bool {
		member := memberWithTenants(t)
		follower := member.machine.Configuration()
		highest := model.ServiceID(0)
		owners := make(map[model.ServiceID]ServiceKey)
		for _, number := range numbers {
			member.applyHistory(history{number})
			view := member.machine.View()
			follower = applyDeltas(t, member.machine, follower)
			require.Equal(t, view.Configuration.Digest(), follower.Digest())
			checkViewInvariants(t, view)
			for _, record := range view.Services() {
				owner, seen := owners[record.ID]
				require.True(t, !seen && record.ID > highest || owner == record.Key, "service ID %d was assigned twice", record.ID)
				owners[record.ID] = record.Key
			}
			for id := range owners {
				highest = max(highest, id)
			}
		}
		return true
	})
}

// applyDeltas returns the configuration after all later deltas of the machine.
func applyDeltas(t *testing.T, machine *Machine, configuration *model.Configuration) *model.Configuration {
	deltas, known := machine.DeltasSince(configuration.Revision)
	require.True(t, known)
	for _, delta := range deltas {
		next, err := configuration.Apply(delta)
		require.NoError(t, err)
		require.Greater(t, next.Revision, configuration.Revision)
		configuration = next
	}
	return configuration
}

// checkViewInvariants checks that the tables and indexes of a view agree with each other.
func checkViewInvariants(t *testing.T, view *View) {
	configuration := view.Configuration
	listeners := make(map[listener]bool)
	for id, service := range configuration.Services {
		require.False(t, listeners[listenerOf(service)], "two services share %v", service.Address)
		listeners[listenerOf(service)] = true
		record, known := view.Service(ServiceKey{Tenant: service.Tenant, Name: service.Name})
		require.True(t, known)
		require.Equal(t, id, record.ID)
		for target := range view.BucketUses(id) {
			require.Contains(t, record.Targets, target, "a bucket names a target of another service")
			require.Equal(t, id, configuration.Targets[target].Service)
		}
	}
	require.Len(t, configuration.Services, view.services.length())
	require.Len(t, configuration.Targets, view.targets.length())
	require.Len(t, configuration.Buckets, view.services.length())
	require.Equal(t, view.targets.length(), view.targetNames.length())
	require.Equal(t, view.targets.length(), view.agents.length())
	require.Equal(t, view.services.length(), view.listeners.length())
	for id, target := range configuration.Targets {
		record, known := view.TargetRecord(id)
		require.True(t, known)
		require.Equal(t, record.phase(), target.Phase)
	}
}

// TestHistoriesApplyEveryCommandKind checks the generator of the property tests: they
// test little if most commands are refused.
func TestHistoriesApplyEveryCommandKind(t *testing.T) {
	applied := make(map[string]int)
	member := memberWithTenants(t)
	for number := range uint32(2000) {
		number *= 2654435761
		member.now = member.now.Add(pauseBefore(number))
		command := commandFrom(member.machine.View(), number)
		result := member.run(command)
		if result.Applied() && (result.Claim == nil || result.Claim.State == protocol.ClaimGranted || result.Claim.State == protocol.ClaimCompleted) {
			applied[fmt.Sprintf("%T", command)]++
		}
	}
	for _, kind := range []Command{PutService{}, DeleteService{}, DrainTarget{}, UndrainTarget{}, ObserveTargets{}, ReportEmpty{}, Claim{}, CompleteClaim{}} {
		require.Greater(t, applied[fmt.Sprintf("%T", kind)], 20, "%T: %v", kind, applied)
	}
}
