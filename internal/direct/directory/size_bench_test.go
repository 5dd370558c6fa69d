package directory

import (
	"testing"

	"merlinpaddle/internal/direct/declared"
)

// BenchmarkDeclaration measures the encoded size of a declaration that changes one of many routes,
// as a difference and as a full configuration.
func BenchmarkDeclaration(b *testing.B) {
	var ports []int
	for port := 1; port <= 430; port++ {
		ports = append(ports, port)
	}
	base, next := configurationWithPorts(1, ports...), configurationWithPorts(2, ports...)
	next.Routes[200].Timeout *= 2
	for _, variant := range []struct {
		name string
		from *declared.Configuration
	}{{"difference", base}, {"full", &declared.Configuration{}}} {
		b.Run(variant.name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				difference := declared.Compare(variant.from, next)
				data, err := EncodeCommand(Command{Declare: &difference})
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
