package state

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

var testStart = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

// member applies commands to one machine like a replicated log.
type member struct {
	t       testing.TB
	machine *Machine
	index   model.Revision
	now     time.Time
}

func newMember(t testing.TB) *member {
	return &member{t: t, machine: NewMachine(), now: testStart}
}

// run applies the command as the next entry of the log.
func (member *member) run(command Command) Result {
	member.t.Helper()
	encoded, err := EncodeCommand(command)
	require.NoError(member.t, err)
	member.index++
	result, err := DecodeResult(member.machine.Apply(member.index, member.now, encoded))
	require.NoError(member.t, err)
	return result
}

// must applies the command and fails the test if it is refused.
func (member *member) must(command Command) Result {
	member.t.Helper()
	result := member.run(command)
	require.NoError(member.t, result.Err())
	return result
}

// memberWithTipline returns a member with the template "web", the tenants riga and
// teranga, and the service "tipline" of riga.
func memberWithTipline(t testing.TB) *member {
	member := newMember(t)
	member.must(PutTemplate{Name: "web", Spec: webTemplate()})
	member.must(PutTenant{Name: "riga"})
	member.must(PutTenant{Name: "teranga"})
	member.must(putTipline(0, "192.0.2.1:443", "tip-1", "tip-2", "tip-3"))
	return member
}

func webTemplate() TemplateSpec {
	return TemplateSpec{
		Protocol: ProtocolNameQUIC,
		Parameters: []ParameterDefinition{
			{Name: "address", Kind: KindAddress, Sets: PropertyAddress, Required: true},
			{Name: "targets", Kind: KindTargets, Sets: PropertyTargets, Required: true, Maximum: json.RawMessage(`100`)},
			{Name: "slots", Kind: KindInteger, Sets: PropertySlotsPerTarget, Default: json.RawMessage(`2`), Minimum: json.RawMessage(`1`), Maximum: json.RawMessage(`16`)},
			{Name: "timeout", Kind: KindDuration, Sets: PropertyRequestTimeout, Minimum: json.RawMessage(`"100ms"`), Maximum: json.RawMessage(`"30s"`)},
			{Name: "prefix", Kind: KindString, Default: json.RawMessage(`"api"`), Allowed: []string{"api", "v2"}},
			{Name: "payouts", Kind: KindBoolean, Default: json.RawMessage(`true`)},
		},
		Classes: []ClassWeight{{Class: model.ClassCall, Weight: 2}},
		Rules: []RuleTemplate{
			{Method: "POST", PathPrefix: "/{prefix}/payout", Class: model.ClassCall, AtMostOnce: true, OnlyIf: "payouts"},
			{Method: "GET", PathPrefix: "/feed", Class: model.ClassFeed},
		},
	}
}

// putTipline returns a change of the service "tipline" of tenant riga with the named
// targets.
func putTipline(base model.Revision, address string, targets ...string) PutService {
	return putService("riga", "tipline", base, address, targets...)
}

func putService(tenant model.TenantName, name string, base model.Revision, address string, targets ...string) PutService {
	return PutService{
		Change:   Change{Base: base},
		Tenant:   tenant,
		Name:     name,
		Template: model.TemplateReference{Name: "web"},
		Parameters: []Parameter{
			{Name: "address", Value: jsonOf(address)},
			{Name: "targets", Value: jsonOf(targetParameters(targets))},
		},
	}
}

func jsonOf(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// targetParameters returns targets with the given names. Each gets addresses that
// depend only on its name.
func targetParameters(names []string) []TargetParameter {
	parameters := []TargetParameter{}
	for _, name := range names {
		var number uint16
		for _, letter := range name {
			number = number*31 + uint16(letter)
		}
		parameters = append(parameters, TargetParameter{
			Name:    name,
			Zone:    "rix-ziepnieks",
			Agent:   netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1024+number%30000),
			Backend: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), 1024+number%30000),
		})
	}
	return parameters
}

func tiplineKey() ServiceKey { return ServiceKey{Tenant: "riga", Name: "tipline"} }

func (member *member) service(key ServiceKey) *ServiceRecord {
	member.t.Helper()
	record, known := member.machine.View().Service(key)
	require.True(member.t, known, "service %v", key)
	return record
}

func (member *member) target(name string) model.Target {
	member.t.Helper()
	target, known := member.machine.View().TargetOfNode(model.NodeName(name))
	require.True(member.t, known, "target %s", name)
	return target
}

// reportAllEmpty reports all earlier targets of all buckets as empty.
func (member *member) reportAllEmpty() {
	member.t.Helper()
	configuration := member.machine.Configuration()
	var reports []model.BucketEmpty
	for service, buckets := range configuration.Buckets {
		for bucket, earlier := range buckets.Earlier {
			for _, entry := range earlier {
				reports = append(reports, model.BucketEmpty{Service: service, Target: entry.Target, Bucket: bucket, At: configuration.Revision})
			}
		}
	}
	member.must(ReportEmpty{Reports: reports})
}

func TestPutServiceConfiguresTheService(t *testing.T) {
	member := memberWithTipline(t)
	record := member.service(tiplineKey())
	configuration := member.machine.Configuration()
	resolved := configuration.Services[record.ID]
	require.Equal(t, netip.MustParseAddrPort("192.0.2.1:443"), resolved.Address)
	require.Equal(t, 2, resolved.Limits.SlotsPerTarget)
	require.Equal(t, model.DefaultRequestTimeout, resolved.Limits.RequestTimeout)
	require.Equal(t, []model.RequestRule{
		{Method: "POST", PathPrefix: "/api/payout", Class: model.ClassCall, AtMostOnce: true, Weight: 2},
		{Method: "GET", PathPrefix: "/feed", Class: model.ClassFeed, Weight: 1},
	}, resolved.Rules)
	require.Equal(t, model.TemplateReference{Name: "web", Version: 1}, resolved.Template)
	require.Equal(t, member.index, configuration.Revision)
	require.Len(t, configuration.ServiceTargets(record.ID), 3)
	uses := member.machine.View().BucketUses(record.ID)
	for _, id := range record.Targets {
		require.Positive(t, uses[id].Heads)
	}
}

func TestRemovedTargetIsDeletedOnceItsBucketsAreEmpty(t *testing.T) {
	member := memberWithTipline(t)
	leaving := member.target("tip-3")
	member.must(putTipline(member.service(tiplineKey()).Revision, "192.0.2.1:443", "tip-1", "tip-2"))
	require.Equal(t, model.PhaseDraining, member.target("tip-3").Phase)
	use := member.machine.View().BucketUses(leaving.Service)[leaving.ID]
	require.Zero(t, use.Heads)
	require.Positive(t, use.Earlier)

	member.reportAllEmpty()
	_, known := member.machine.View().TargetOfNode("tip-3")
	require.False(t, known)
	require.NotContains(t, member.machine.Configuration().Targets, leaving.ID)
	require.Len(t, member.service(tiplineKey()).Targets, 2)
}

func TestTargetKeepsItsIDWhenParametersChange(t *testing.T) {
	member := memberWithTipline(t)
	before := member.target("tip-2").ID
	member.must(putTipline(member.service(tiplineKey()).Revision, "192.0.2.1:443", "tip-2", "tip-4"))
	member.must(putTipline(member.service(tiplineKey()).Revision, "192.0.2.1:443", "tip-4", "tip-1", "tip-2"))
	require.Equal(t, before, member.target("tip-2").ID)
	require.Equal(t, model.PhaseServing, member.target("tip-1").Phase, "a leaving target that is listed again returns to service")
}

func TestDeleteServiceWaitsForItsFlows(t *testing.T) {
	member := memberWithTipline(t)
	record := member.service(tiplineKey())
	member.must(DeleteService{Change: Change{Base: record.Revision}, Tenant: "riga", Name: "tipline"})
	require.True(t, member.service(tiplineKey()).Removing)
	conflicting := member.run(putService("teranga", "resa", 0, "192.0.2.1:443", "resa-1"))
	require.Equal(t, faults.CodeConflict, conflicting.Code, "the address is still in use")

	for range 3 {
		member.reportAllEmpty()
	}
	_, known := member.machine.View().Service(tiplineKey())
	require.False(t, known)
	configuration := member.machine.Configuration()
	require.Empty(t, configuration.Services)
	require.Empty(t, configuration.Targets)
	require.Empty(t, configuration.Buckets)

	reused := member.must(putService("teranga", "resa", 0, "192.0.2.1:443", "resa-1"))
	require.Greater(t, reused.Service, record.ID)
}

func TestForcedDeleteRemovesServiceImmediately(t *testing.T) {
	member := memberWithTipline(t)
	member.must(DeleteService{Change: Change{Base: member.service(tiplineKey()).Revision}, Tenant: "riga", Name: "tipline", Force: true})
	require.Empty(t, member.machine.Configuration().Services)
	require.Empty(t, member.machine.Configuration().Targets)
}

func TestDrainAndUndrain(t *testing.T) {
	member := memberWithTipline(t)
	key := TargetKey{Tenant: "riga", Service: "tipline", Name: "tip-1"}
	_, record, _ := member.machine.View().Target(key)
	drained := member.must(DrainTarget{Change: Change{Base: record.Revision}, Target: key})
	require.Equal(t, model.PhaseDraining, member.target("tip-1").Phase)
	require.Zero(t, member.machine.View().BucketUses(1)[record.ID].Heads)

	stale := member.run(UndrainTarget{Change: Change{Base: record.Revision}, Target: key})
	require.Equal(t, faults.CodeRevisionMismatch, stale.Code)
	require.Equal(t, drained.Revision, stale.Revision)

	member.must(UndrainTarget{Change: Change{Base: drained.Revision}, Target: key})
	require.Equal(t, model.PhaseServing, member.target("tip-1").Phase)
}

func TestTargetObservations(t *testing.T) {
	member := memberWithTipline(t)
	id := member.target("tip-1").ID
	observe := func(incarnation model.Incarnation, alive bool) {
		member.must(ObserveTargets{Observations: []TargetObservation{{Target: id, Incarnation: incarnation, Alive: alive}}})
	}
	observe(5, true)
	require.Equal(t, model.Incarnation(5), member.target("tip-1").Incarnation)
	observe(4, false)
	require.Equal(t, model.PhaseServing, member.target("tip-1").Phase, "an observation of an older process is ignored")
	observe(5, false)
	require.Equal(t, model.PhaseDead, member.target("tip-1").Phase)
	require.Zero(t, member.machine.View().BucketUses(1)[id].Total(), "a dead target is removed from all buckets")
	observe(6, true)
	require.Equal(t, model.PhaseServing, member.target("tip-1").Phase)

	revision := member.machine.Configuration().Revision
	observe(6, true)
	require.Equal(t, revision, member.machine.Configuration().Revision, "an observation without a change makes no new revision")
}

func TestDeltasReproduceTheConfiguration(t *testing.T) {
	member := newMember(t)
	rebuilt := member.machine.Configuration()
	source := memberWithTipline(t)
	record := source.service(tiplineKey())
	source.must(putTipline(record.Revision, "192.0.2.1:443", "tip-2", "tip-5"))
	source.reportAllEmpty()
	deltas, known := source.machine.DeltasSince(0)
	require.True(t, known)
	var err error
	for _, delta := range deltas {
		rebuilt, err = rebuilt.Apply(delta)
		require.NoError(t, err)
	}
	require.Equal(t, source.machine.Configuration().Digest(), rebuilt.Digest())

	current := source.machine.Configuration().Revision
	none, known := source.machine.DeltasSince(current)
	require.True(t, known)
	require.Empty(t, none)
	_, known = source.machine.DeltasSince(current + 1)
	require.False(t, known)
}

func TestServiceWithManyTargetsIsAccepted(t *testing.T) {
	member := memberWithTipline(t)
	names := make([]string, 0, 41)
	for index := range 41 {
		names = append(names, fmt.Sprintf("depot-%d", index))
	}
	created := member.must(putService("riga", "depot", 0, "192.0.2.7:443", names...))
	require.Len(t, member.machine.Configuration().ServiceTargets(created.Service), 41)
}
