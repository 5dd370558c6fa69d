package state

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// webTemplateWith returns webTemplate with one edit.
func webTemplateWith(edit func(*TemplateSpec)) TemplateSpec {
	spec := webTemplate()
	edit(&spec)
	return spec
}

func TestInvalidTemplatesAreRefused(t *testing.T) {
	cases := []struct {
		name  string
		spec  TemplateSpec
		field string
	}{
		{"protocol", webTemplateWith(func(s *TemplateSpec) { s.Protocol = "sctp" }), "protocol"},
		{"description", webTemplateWith(func(s *TemplateSpec) { s.Description = strings.Repeat("x", 2000) }), "description"},
		{"no address", webTemplateWith(func(s *TemplateSpec) { s.Parameters = s.Parameters[1:] }), "parameters"},
		{"no targets", webTemplateWith(func(s *TemplateSpec) { s.Parameters[1].Sets = "" }), "parameters"},
		{"name", webTemplateWith(func(s *TemplateSpec) { s.Parameters[2].Name = "Slots!" }), "parameters[2].name"},
		{"name twice", webTemplateWith(func(s *TemplateSpec) { s.Parameters[3].Name = "slots" }), "parameters[3].name"},
		{"kind", webTemplateWith(func(s *TemplateSpec) { s.Parameters[2].Kind = "float" }), "parameters[2].kind"},
		{"property", webTemplateWith(func(s *TemplateSpec) { s.Parameters[2].Sets = "limits.none" }), "parameters[2].sets"},
		{"property of another kind", webTemplateWith(func(s *TemplateSpec) { s.Parameters[3].Sets = PropertyMaximumQueue }), "parameters[3].sets"},
		{"property twice", webTemplateWith(func(s *TemplateSpec) {
			s.Parameters[3].Kind, s.Parameters[3].Sets = KindInteger, PropertySlotsPerTarget
			s.Parameters[3].Minimum, s.Parameters[3].Maximum = nil, nil
		}), "parameters[3].sets"},
		{"minimum type", webTemplateWith(func(s *TemplateSpec) { s.Parameters[2].Minimum = json.RawMessage(`"x"`) }), "parameters[2].minimum"},
		{"maximum type", webTemplateWith(func(s *TemplateSpec) { s.Parameters[3].Maximum = json.RawMessage(`5`) }), "parameters[3].maximum"},
		{"minimum above maximum", webTemplateWith(func(s *TemplateSpec) { s.Parameters[2].Minimum = json.RawMessage(`17`) }), "parameters[2].minimum"},
		{"range of a boolean", webTemplateWith(func(s *TemplateSpec) { s.Parameters[5].Minimum = json.RawMessage(`1`) }), "parameters[5]"},
		{"default out of range", webTemplateWith(func(s *TemplateSpec) { s.Parameters[2].Default = json.RawMessage(`17`) }), "parameters[2].default"},
		{"default of a required parameter", webTemplateWith(func(s *TemplateSpec) { s.Parameters[2].Required = true }), "parameters[2].default"},
		{"default address", webTemplateWith(func(s *TemplateSpec) {
			s.Parameters[0].Required, s.Parameters[0].Default = false, json.RawMessage(`"192.0.2.1:1"`)
		}), "parameters[0].default"},
		{"default not allowed", webTemplateWith(func(s *TemplateSpec) { s.Parameters[4].Default = json.RawMessage(`"v3"`) }), "parameters[4].default"},
		{"allowed values of an integer", webTemplateWith(func(s *TemplateSpec) { s.Parameters[2].Allowed = []string{"1"} }), "parameters[2].allowed"},
		{"limit", webTemplateWith(func(s *TemplateSpec) { s.Limits.MaximumQueue = -1 }), "limits.maximum_queue"},
		{"class", webTemplateWith(func(s *TemplateSpec) { s.Classes[0].Class = "bulk" }), "classes[0].class"},
		{"class weight", webTemplateWith(func(s *TemplateSpec) { s.Classes[0].Weight = 0 }), "classes[0].weight"},
		{"class twice", webTemplateWith(func(s *TemplateSpec) { s.Classes = append(s.Classes, s.Classes[0]) }), "classes[1].class"},
		{"rules of a udp service", webTemplateWith(func(s *TemplateSpec) { s.Protocol = ProtocolNameUDP }), "rules"},
		{"rule class", webTemplateWith(func(s *TemplateSpec) { s.Rules[0].Class = "bulk" }), "rules[0].class"},
		{"claimed feed", webTemplateWith(func(s *TemplateSpec) { s.Rules[1].AtMostOnce = true }), "rules[1].at_most_once"},
		{"rule path", webTemplateWith(func(s *TemplateSpec) { s.Rules[1].PathPrefix = "feed" }), "rules[1].path_prefix"},
		{"rule placeholder", webTemplateWith(func(s *TemplateSpec) { s.Rules[1].PathPrefix = "/{slots}" }), "rules[1].path_prefix"},
		{"rule method", webTemplateWith(func(s *TemplateSpec) { s.Rules[1].Method = "get" }), "rules[1].method"},
		{"rule condition", webTemplateWith(func(s *TemplateSpec) { s.Rules[0].OnlyIf = "slots" }), "rules[0].only_if"},
	}
	require.Empty(t, CheckTemplate(webTemplate()))
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			member := newMember(t)
			result := member.run(PutTemplate{Name: "web", Spec: test.spec})
			require.Equal(t, faults.CodeInvalidField, result.Code)
			require.Equal(t, test.field, result.Fields[0].Field, "%v", result.Fields)
			require.Empty(t, member.machine.View().Templates())
		})
	}
}

// putDepotWith returns a creation of the service "depot" of riga with one parameter
// changed or added.
func putDepotWith(name string, value string) PutService {
	command := putService("riga", "depot", 0, "192.0.2.9:443", "depot-1")
	for index := range command.Parameters {
		if command.Parameters[index].Name == name {
			command.Parameters[index].Value = json.RawMessage(value)
			return command
		}
	}
	command.Parameters = append(command.Parameters, Parameter{Name: name, Value: json.RawMessage(value)})
	return command
}

func TestInvalidServicesAreRefused(t *testing.T) {
	good := putService("riga", "depot", 0, "192.0.2.9:443", "depot-1")
	edit := func(change func(*PutService)) PutService {
		command := putService("riga", "depot", 0, "192.0.2.9:443", "depot-1")
		change(&command)
		return command
	}
	cases := []struct {
		name    string
		command PutService
		code    faults.Code
		field   string
	}{
		{"unknown tenant", edit(func(c *PutService) { c.Tenant = "none" }), faults.CodeNotFound, ""},
		{"unknown template", edit(func(c *PutService) { c.Template.Name = "none" }), faults.CodeNotFound, ""},
		{"unknown version", edit(func(c *PutService) { c.Template.Version = 2 }), faults.CodeNotFound, ""},
		{"must not exist", edit(func(c *PutService) { c.Name = "tipline" }), faults.CodeRevisionMismatch, ""},
		{"must exist", edit(func(c *PutService) { c.Base = 3 }), faults.CodeRevisionMismatch, ""},
		{"name", edit(func(c *PutService) { c.Name = "Depot" }), faults.CodeInvalidField, "name"},
		{"undeclared parameter", putDepotWith("colour", `1`), faults.CodeInvalidField, "parameters.colour"},
		{"missing parameter", edit(func(c *PutService) { c.Parameters = c.Parameters[:1] }), faults.CodeInvalidField, "parameters.targets"},
		{"parameter twice", edit(func(c *PutService) { c.Parameters = append(c.Parameters, c.Parameters[0]) }), faults.CodeInvalidField, "parameters.address"},
		{"integer", putDepotWith("slots", `"two"`), faults.CodeInvalidField, "parameters.slots"},
		{"fraction", putDepotWith("slots", `2.5`), faults.CodeInvalidField, "parameters.slots"},
		{"null", putDepotWith("slots", `null`), faults.CodeInvalidField, "parameters.slots"},
		{"below the minimum", putDepotWith("slots", `0`), faults.CodeInvalidField, "parameters.slots"},
		{"above the maximum", putDepotWith("slots", `17`), faults.CodeInvalidField, "parameters.slots"},
		{"duration", putDepotWith("timeout", `5`), faults.CodeInvalidField, "parameters.timeout"},
		{"short duration", putDepotWith("timeout", `"1ms"`), faults.CodeInvalidField, "parameters.timeout"},
		{"string that is not allowed", putDepotWith("prefix", `"v9"`), faults.CodeInvalidField, "parameters.prefix"},
		{"boolean", putDepotWith("payouts", `"yes"`), faults.CodeInvalidField, "parameters.payouts"},
		{"address", putDepotWith("address", `"example"`), faults.CodeInvalidField, "parameters.address"},
		{"address without port", putDepotWith("address", `"192.0.2.9:0"`), faults.CodeInvalidField, "parameters.address"},
		{"unspecified address", putDepotWith("address", `"0.0.0.0:443"`), faults.CodeInvalidField, "parameters.address"},
		{"multicast address", putDepotWith("address", `"224.0.0.1:443"`), faults.CodeInvalidField, "parameters.address"},
		{"target field", putDepotWith("targets", `[{"nam":"x"}]`), faults.CodeInvalidField, "parameters.targets"},
		{"target without address", putDepotWith("targets", `[{"name":"x","zone":"z","backend":"127.0.0.1:1"}]`), faults.CodeInvalidField, "parameters.targets[0].agent"},
		{"target twice", putDepotWith("targets", string(jsonOf(targetParameters([]string{"x", "x"})))), faults.CodeInvalidField, "parameters.targets[1].name"},
		{"target name of another service", putDepotWith("targets", string(jsonOf(targetParameters([]string{"tip-1"})))), faults.CodeConflict, ""},
		{"address in use", putDepotWith("address", `"192.0.2.1:443"`), faults.CodeConflict, ""},
		{"address in use, as IPv4-mapped IPv6", putDepotWith("address", `"[::ffff:192.0.2.1]:443"`), faults.CodeConflict, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			member := memberWithTipline(t)
			before := member.machine.View()
			result := member.run(test.command)
			require.Equal(t, test.code, result.Code, "%v", result.Err())
			if test.field != "" {
				require.Equal(t, test.field, result.Fields[0].Field, "%v", result.Fields)
			}
			require.Same(t, before, member.machine.View(), "a refused command leaves the view unchanged")
		})
	}
	member := memberWithTipline(t)
	require.True(t, member.machine.View().CheckService(good).Applied())
	member.must(good)
}

func TestAgentAddressBelongsToOneTarget(t *testing.T) {
	member := memberWithTipline(t)
	stolen := targetParameters([]string{"resa-1"})
	stolen[0].Agent = member.target("tip-1").Agent
	command := putService("teranga", "resa", 0, "192.0.2.9:443")
	command.Parameters[1].Value = jsonOf(stolen)
	require.Equal(t, faults.CodeConflict, member.run(command).Code)

	swapped := targetParameters([]string{"tip-1", "tip-2", "tip-3"})
	swapped[0].Agent, swapped[1].Agent = swapped[1].Agent, swapped[0].Agent
	command = putTipline(member.service(tiplineKey()).Revision, "192.0.2.1:443")
	command.Parameters[1].Value = jsonOf(swapped)
	member.must(command)
	require.Equal(t, swapped[0].Agent, member.target("tip-1").Agent, "two targets of a service may swap addresses")
}

func TestServiceKeepsAddressAndProtocol(t *testing.T) {
	member := memberWithTipline(t)
	moved := member.run(putTipline(member.service(tiplineKey()).Revision, "192.0.2.8:443", "tip-1"))
	require.Equal(t, faults.CodeConflict, moved.Code)

	udp := webTemplate()
	udp.Protocol, udp.Rules, udp.Classes = ProtocolNameUDP, nil, nil
	member.must(PutTemplate{Change: Change{Base: 1}, Name: "web", Spec: udp})
	other := member.run(putTipline(member.service(tiplineKey()).Revision, "192.0.2.1:443", "tip-1"))
	require.Equal(t, faults.CodeConflict, other.Code)
	shared := member.run(putService("teranga", "resa", 0, "192.0.2.1:443", "resa-1"))
	require.Equal(t, faults.CodeConflict, shared.Code, "UDP and QUIC share ports")
}

func TestTenantQuotas(t *testing.T) {
	member := memberWithTipline(t)
	member.must(PutTenant{Change: Change{Base: 2}, Name: "riga", Spec: TenantSpec{MaximumServices: 2, MaximumTargets: 4}})
	require.Equal(t, faults.CodeQuotaExceeded, member.run(putService("riga", "depot", 0, "192.0.2.9:443", "depot-1", "depot-2")).Code)
	member.must(putService("riga", "depot", 0, "192.0.2.9:443", "depot-1"))
	require.Equal(t, faults.CodeQuotaExceeded, member.run(putService("riga", "more", 0, "192.0.2.10:443")).Code)
	member.must(putService("teranga", "resa", 0, "192.0.2.11:443", "resa-1"))
}

func TestServiceAddressMustBeInTenantNetworks(t *testing.T) {
	member := memberWithTipline(t)
	member.must(PutTenant{Change: Change{Base: 3}, Name: "teranga", Spec: TenantSpec{Addresses: []netip.Prefix{netip.MustParsePrefix("198.51.100.0/24")}}})
	refused := member.run(putService("teranga", "resa", 0, "192.0.2.9:443", "resa-1"))
	require.Equal(t, faults.CodeInvalidField, refused.Code)
	member.must(putService("teranga", "resa", 0, "198.51.100.9:443", "resa-1"))
}

func TestTenantAndDeletionRefusals(t *testing.T) {
	for name, test := range map[string]struct {
		command Command
		code    faults.Code
	}{
		"name":                  {PutTenant{Name: "Riga"}, faults.CodeInvalidField},
		"negative quota":        {PutTenant{Name: "x", Spec: TenantSpec{MaximumTargets: -1}}, faults.CodeInvalidField},
		"quota over bound":      {PutTenant{Name: "x", Spec: TenantSpec{MaximumClaims: MaximumClaims + 1}}, faults.CodeInvalidField},
		"empty network":         {PutTenant{Name: "x", Spec: TenantSpec{Addresses: []netip.Prefix{{}}}}, faults.CodeInvalidField},
		"exists":                {PutTenant{Name: "riga"}, faults.CodeRevisionMismatch},
		"delete with services":  {DeleteTenant{Change: Change{Base: 2}, Name: "riga"}, faults.CodeConflict},
		"delete stale":          {DeleteTenant{Change: Change{Base: 1}, Name: "teranga"}, faults.CodeRevisionMismatch},
		"delete unknown":        {DeleteTenant{Name: "x"}, faults.CodeNotFound},
		"delete":                {DeleteTenant{Change: Change{Base: 3}, Name: "teranga"}, 0},
		"template in use":       {DeleteTemplate{Change: Change{Base: 1}, Name: "web"}, faults.CodeConflict},
		"delete no template":    {DeleteTemplate{Name: "x"}, faults.CodeNotFound},
		"drain unknown":         {DrainTarget{Target: TargetKey{Tenant: "riga", Service: "tipline", Name: "x"}}, faults.CodeNotFound},
		"drain of other tenant": {DrainTarget{Target: TargetKey{Tenant: "teranga", Service: "tipline", Name: "tip-1"}}, faults.CodeNotFound},
		"delete no service":     {DeleteService{Tenant: "riga", Name: "x"}, faults.CodeNotFound},
		"delete stale service":  {DeleteService{Change: Change{Base: 1}, Tenant: "riga", Name: "tipline"}, faults.CodeRevisionMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.code, memberWithTipline(t).run(test.command).Code)
		})
	}
}

func TestOldestUnusedTemplateVersionIsRemovedFirst(t *testing.T) {
	member := memberWithTipline(t)
	for range MaximumTemplateVersions {
		template, _ := member.machine.View().Template("web")
		member.must(PutTemplate{Change: Change{Base: template.Revision}, Name: "web", Spec: webTemplate()})
	}
	template, _ := member.machine.View().Template("web")
	require.Len(t, template.Versions, MaximumTemplateVersions)
	_, used := template.Find(1)
	require.True(t, used, "a service uses version 1")
	_, unused := template.Find(2)
	require.False(t, unused)
	require.EqualValues(t, MaximumTemplateVersions+1, template.Latest().Version)
}

func TestUnreadableCommandIsRefused(t *testing.T) {
	member := newMember(t)
	result, err := DecodeResult(member.machine.Apply(1, testStart, []byte("junk")))
	require.NoError(t, err)
	require.Equal(t, faults.CodeUnknownCommand, result.Code)
	require.Nil(t, member.machine.Apply(2, testStart, nil), "an empty command only advances the time")
	repeated, err := DecodeResult(member.machine.Apply(2, testStart, []byte("junk")))
	require.NoError(t, err)
	require.Equal(t, faults.CodeInternalFault, repeated.Code, "an index is not applied twice")
}

func TestRefusalSizeIsBounded(t *testing.T) {
	member := memberWithTipline(t)
	var parameters []Parameter
	for index := range 500 {
		parameters = append(parameters, Parameter{Name: strings.Repeat("x", 5000) + fmt.Sprint(index), Value: json.RawMessage(`1`)})
	}
	command := putTipline(0, "192.0.2.9:443", "x")
	command.Name, command.Parameters = "other", parameters
	result := member.run(command)
	require.Equal(t, faults.CodeInvalidField, result.Code)
	require.Less(t, len(encodeResult(result)), 64<<10)
}

func TestResentCommandGetsItsFirstAnswer(t *testing.T) {
	member := memberWithTipline(t)
	put := putTipline(member.service(tiplineKey()).Revision, "192.0.2.1:443", "tip-1", "tip-2")
	put.Change.Key, put.Change.Fingerprint = "k", 7
	first := member.must(put)

	resent := member.must(put)
	require.True(t, resent.Replayed)
	require.Equal(t, first.Revision, resent.Revision)
	require.Equal(t, first.Revision, member.service(tiplineKey()).Revision)

	other := put
	other.Change.Fingerprint = 8
	require.Equal(t, faults.CodeIdempotencyKeyReused, member.run(other).Code)

	scoped := put
	scoped.Change.Scope = "tenant/riga"
	require.Equal(t, faults.CodeRevisionMismatch, member.run(scoped).Code, "the same key in another scope is another request")

	member.now = member.now.Add(AnswerRetention)
	require.Equal(t, faults.CodeRevisionMismatch, member.run(put).Code, "after the retention, the command is refused because of its base revision")
}

func TestLogTimeNeverGoesBack(t *testing.T) {
	member := memberWithTipline(t)
	put := PutTenant{Change: Change{Key: "k", Fingerprint: 1}, Name: "late"}
	member.must(put)
	member.now = member.now.Add(-48 * time.Hour)
	require.True(t, member.must(put).Replayed)
	member.now = member.now.Add(48*time.Hour + AnswerRetention - time.Nanosecond)
	require.True(t, member.must(put).Replayed)
	member.now = member.now.Add(time.Nanosecond)
	require.Equal(t, faults.CodeRevisionMismatch, member.run(put).Code)
}

func TestAnswersAreBounded(t *testing.T) {
	answers := newAnswerTable()
	for index := range MaximumAnswers + 10 {
		answers.record(Change{Key: fmt.Sprint(index)}, testStart, Result{Revision: model.Revision(index)})
	}
	require.Len(t, answers.rows, MaximumAnswers)
	_, found := answers.find(Change{Key: "9"})
	require.False(t, found, "the oldest answer is removed first")
	_, found = answers.find(Change{Key: "10"})
	require.True(t, found)
}
