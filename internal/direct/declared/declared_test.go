package declared

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
)

func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(port))
}

// validConfiguration returns a configuration of two routes and two services that passes
// validation.
func validConfiguration() *Configuration {
	return &Configuration{
		Version:  3,
		Services: []Service{{Name: "feed"}, {Name: "ledger"}},
		Routes: []Route{
			{Name: "a", Address: address(443), Kind: KindSafe, Timeout: time.Second, Pool: []PoolPart{{"feed", 90}, {"ledger", 10}}, Weighted: true},
			{Name: "b", Address: address(444), Kind: KindUpload, Timeout: time.Second, Pool: []PoolPart{{"ledger", 1}}},
		},
	}
}

func TestValidate(t *testing.T) {
	cases := []struct {
		name   string
		change func(configuration *Configuration)
		field  string
	}{
		{"valid", func(*Configuration) {}, ""},
		{"unsafe", func(c *Configuration) { c.Routes[0].Kind = KindUnsafe }, ""},
		{"download", func(c *Configuration) { c.Routes[0].Kind = KindDownload }, ""},
		{"no kind", func(c *Configuration) { c.Routes[0].Kind = "" }, "routes[0].kind"},
		{"one part of weight zero", func(c *Configuration) { c.Routes[0].Pool[1].Weight = 0 }, ""},
		{"no version", func(c *Configuration) { c.Version = 0 }, "version"},
		{"service without a name", func(c *Configuration) { c.Services[1].Name = "" }, "services[1].name"},
		{"duplicate service", func(c *Configuration) { c.Services[1].Name = "feed" }, "services[1].name"},
		{"route without a name", func(c *Configuration) { c.Routes[1].Name = "" }, "routes[1].name"},
		{"duplicate route", func(c *Configuration) { c.Routes[1].Name = "a" }, "routes[1].name"},
		{"duplicate address", func(c *Configuration) { c.Routes[1].Address = address(443) }, "routes[1]"},
		{"no address", func(c *Configuration) { c.Routes[1].Address = netip.AddrPort{} }, "routes[1]"},
		{"no port", func(c *Configuration) { c.Routes[1].Address = address(0) }, "routes[1]"},
		{"no timeout", func(c *Configuration) { c.Routes[0].Timeout = 0 }, "routes[0].timeout"},
		{"negative timeout", func(c *Configuration) { c.Routes[0].Timeout = -1 }, "routes[0].timeout"},
		{"unknown kind", func(c *Configuration) { c.Routes[0].Kind = "odd" }, "routes[0].kind"},
		{"cold limit", func(c *Configuration) { c.Services[0].Cold = ColdLimit{Stated: true, Start: time.Second, PerSecond: 2} }, ""},
		{"negative cold start time", func(c *Configuration) { c.Services[0].Cold.Start = -1 }, "services[0].cold.start"},
		{"negative cold rate", func(c *Configuration) { c.Services[1].Cold.PerSecond = -1 }, "services[1].cold.per_second"},
		{"cold rate that is not a number", func(c *Configuration) { c.Services[1].Cold.PerSecond = math.NaN() }, "services[1].cold.per_second"},
		{"regions", func(c *Configuration) { c.Routes[0].Regions = []string{"north"} }, ""},
		{"empty region", func(c *Configuration) { c.Routes[0].Regions = []string{"north", ""} }, "routes[0].regions[1]"},
		{"unknown service", func(c *Configuration) { c.Routes[1].Pool[0].Service = "odd" }, "routes[1].pool[0]"},
		{"negative weight", func(c *Configuration) { c.Routes[0].Pool[0].Weight = -1 }, "routes[0].pool[0]"},
		{"no positive weight", func(c *Configuration) { c.Routes[1].Pool[0].Weight = 0 }, "routes[1].pool"},
		{"empty pool", func(c *Configuration) { c.Routes[1].Pool = nil }, "routes[1].pool"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			configuration := validConfiguration()
			test.change(configuration)
			err := configuration.Validate()
			if test.field == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, faults.ConfigurationInvalid, faults.CodeOf(err))
			require.ErrorContains(t, err, test.field)
		})
	}
}

// generatedConfiguration builds a configuration from numbers, in their order. Each number gives
// one route a port and a timeout; numbers of a port that has a route are skipped.
func generatedConfiguration(version uint64, numbers []int) *Configuration {
	configuration := &Configuration{Version: version, Services: []Service{{Name: "feed", MaxConnections: len(numbers) % 3}}}
	seen := make(map[int]bool)
	for _, number := range numbers {
		port := 1 + number%17
		if seen[port] {
			continue
		}
		seen[port] = true
		configuration.Routes = append(configuration.Routes, Route{
			Name: fmt.Sprint(port), Address: address(port), Kind: KindSafe,
			Timeout: time.Duration(1+number/17%3) * time.Second, Pool: []PoolPart{{"feed", 1}},
		})
	}
	return configuration
}

func TestApplyingADifferenceGivesTheNextConfiguration(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	numbers := gen.SliceOf(gen.IntRange(0, 500))
	properties.Property("applying the difference gives the next configuration", prop.ForAll(
		func(first, second []int) bool {
			base, next := generatedConfiguration(1, first), generatedConfiguration(2, second)
			difference := Compare(base, next)
			applied, sameBase := difference.Apply(base)
			if !sameBase || len(applied.Routes) != len(next.Routes) {
				return false
			}
			for index := range applied.Routes {
				if !applied.Routes[index].Equal(&next.Routes[index]) {
					return false
				}
			}
			return applied.Version == 2 && applied.Services[0] == next.Services[0]
		}, numbers, numbers))
	properties.TestingRun(t)
}

func TestDifferenceFromAnotherVersionIsRefused(t *testing.T) {
	difference := Compare(generatedConfiguration(4, []int{1}), generatedConfiguration(6, []int{2}))
	_, sameBase := difference.Apply(generatedConfiguration(5, []int{1}))
	require.False(t, sameBase)
}

func TestDifferenceContainsOnlyWhatChanged(t *testing.T) {
	base := validConfiguration()
	next := validConfiguration()
	next.Version = 4
	next.Routes[1].Timeout = 2 * time.Second
	difference := Compare(base, next)
	require.Len(t, difference.Routes, 1)
	require.Empty(t, difference.Removed)
	require.Nil(t, difference.Order)
	require.False(t, difference.ServicesChanged)
}
