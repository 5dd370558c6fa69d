package state

import (
	"fmt"
	"net/netip"
	"testing"

	"merlinpaddle/internal/model"
)

// memberWithServices returns a member with the given number of services, each of nine
// targets.
func memberWithServices(b *testing.B, services int) *member {
	member := memberWithTenants(b)
	member.must(PutTenant{Change: Change{Base: 2}, Name: "riga", Spec: TenantSpec{MaximumServices: MaximumServices, MaximumTargets: MaximumTargets}})
	for number := range services {
		member.must(putNumberedService(number, 0))
	}
	return member
}

// putNumberedService creates or changes service number of tenant riga. Its address and
// its targets' names and addresses follow from the number.
func putNumberedService(number int, base model.Revision) PutService {
	parameters := targetParameters(make([]string, 9))
	for index := range parameters {
		parameters[index].Name = fmt.Sprintf("s%d-t%d", number, index)
		parameters[index].Agent = netip.MustParseAddrPort(fmt.Sprintf("127.%d.%d.%d:6081", 1+number/200, number%200, index+1))
	}
	command := putService("riga", fmt.Sprintf("service-%d", number), base, fmt.Sprintf("10.%d.%d.1:443", number/250, number%250))
	command.Parameters[1].Value = jsonOf(parameters)
	return command
}

// BenchmarkChangeService measures one change of a service in a state with many others,
// which is the cost of a change on each control member.
func BenchmarkChangeService(b *testing.B) {
	for _, services := range []int{20, 400, 4000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			member := memberWithServices(b, services)
			key := ServiceKey{Tenant: "riga", Name: "service-0"}
			for b.Loop() {
				record, _ := member.machine.View().Service(key)
				member.must(putNumberedService(0, record.Revision))
			}
		})
	}
}

// BenchmarkClaim measures one claim and its outcome.
func BenchmarkClaim(b *testing.B) {
	member := memberWithTipline(b)
	member.must(PutTenant{Change: Change{Base: 2}, Name: "riga", Spec: TenantSpec{MaximumClaims: MaximumClaims}})
	for number := 0; b.Loop(); number++ {
		key := fmt.Sprint(number)
		member.must(claimBy("tip-1", 1, uint64(number), key))
		member.must(outcomeBy("tip-1", 1, uint64(number), key))
		if number%MaximumClaims == MaximumClaims-1 {
			member.now = member.now.Add(ClaimWindow)
		}
	}
}

// BenchmarkSnapshot measures taking a snapshot and reports its size.
func BenchmarkSnapshot(b *testing.B) {
	for _, services := range []int{20, 400, 4000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			member := memberWithServices(b, services)
			size := 0
			for b.Loop() {
				snapshot, err := member.machine.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(snapshot)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkDigest measures the digest of the complete state.
func BenchmarkDigest(b *testing.B) {
	member := memberWithServices(b, 400)
	for b.Loop() {
		member.machine.Digest()
	}
}
