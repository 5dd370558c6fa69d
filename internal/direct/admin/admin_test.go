package admin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// fakeMember is a fake of a member's calls.
type fakeMember struct {
	configuration *declared.Configuration
	err           error
	// evacuatedZone is the zone under evacuation, or empty.
	evacuatedZone string
}

func (member *fakeMember) Declare(_ context.Context, next *declared.Configuration) error {
	if err := next.Validate(); err != nil {
		return err
	}
	if member.err == nil {
		member.configuration = next
	}
	return member.err
}

func (member *fakeMember) Configuration(context.Context) (*declared.Configuration, error) {
	return member.configuration, member.err
}

func (member *fakeMember) Evacuate(_ context.Context, zone string, end bool) error {
	switch {
	case member.err != nil:
		return member.err
	case end:
		member.evacuatedZone = ""
	default:
		member.evacuatedZone = zone
	}
	return nil
}

func (member *fakeMember) Evacuations(context.Context) ([]directory.Evacuation, error) {
	if member.evacuatedZone == "" || member.err != nil {
		return nil, member.err
	}
	return []directory.Evacuation{{Zone: member.evacuatedZone, Since: 7}}, nil
}

// Behind implements Followers.
func (member *fakeMember) Behind(revision model.Revision) int { return int(revision) - 4 }

// exampleConfiguration returns a valid configuration that sets every field.
func exampleConfiguration(version uint64) *declared.Configuration {
	return &declared.Configuration{
		Version: version,
		Routes: []declared.Route{{
			Name: "feed", Address: netip.MustParseAddrPort("198.18.0.1:443"), Kind: declared.KindSafe,
			Timeout: 1500 * time.Millisecond, Objective: 120 * time.Millisecond, Priority: 2, Attempts: 3, Weighted: true, Regions: []string{"north"},
			Pool: []declared.PoolPart{{Service: "feed", Weight: 90}, {Service: "ledger", Weight: 10}},
		}},
		Services: []declared.Service{{Name: "feed", HealthPath: "/health", MaxConnections: 2000, Protocol: "h1",
			Cold: declared.ColdLimit{Stated: true, Start: 2 * time.Second, PerSecond: 4}}, {Name: "ledger", TLS: true}},
		Limits: declared.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// serveAdmin serves a member's interface and returns its address.
func serveAdmin(t *testing.T, member *fakeMember) string {
	t.Helper()
	state := directory.New()
	data, err := directory.EncodeCommand(directory.Command{Register: &directory.Registration{Target: directory.Target{
		ID: 0x7f3a, Service: "feed", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a", State: directory.TargetReady, Sequence: 1,
	}}})
	require.NoError(t, err)
	state.Apply(1, time.Time{}, data)
	server := httptest.NewServer(Handler(member, state, member, zap.NewNop()))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestDocumentRoundTripKeepsEveryField(t *testing.T) {
	configuration := exampleConfiguration(7)
	document := DocumentOf(configuration)
	decoded, err := document.Configuration()
	require.NoError(t, err)
	require.Equal(t, configuration, decoded)
}

func TestConfigurationIsDeclaredAndRead(t *testing.T) {
	member := &fakeMember{configuration: exampleConfiguration(1)}
	client := &Client{Members: []string{"127.0.0.1:1", serveAdmin(t, member)}}
	ctx := context.Background()
	require.NoError(t, client.Declare(ctx, DocumentOf(exampleConfiguration(9))), "an unreachable member is skipped")
	require.Equal(t, exampleConfiguration(9), member.configuration)
	read, err := client.Configuration(ctx)
	require.NoError(t, err)
	require.Equal(t, DocumentOf(exampleConfiguration(9)), read)
	targets, err := client.Targets(ctx)
	require.NoError(t, err)
	require.Equal(t, []Target{{ID: 0x7f3a, Token: 1, Service: "feed", Address: "10.0.0.1:80", Zone: "a", State: "ready", Revision: 1}}, targets)
}

func TestInvalidInputNamesItsField(t *testing.T) {
	cases := []struct {
		name   string
		change func(document *Document)
		field  string
	}{
		{"address", func(document *Document) { document.Routes[0].Address = "198.18.0.1" }, "routes[0].address"},
		{"timeout", func(document *Document) { document.Routes[0].Timeout = "fast" }, "routes[0].timeout"},
		{"objective", func(document *Document) { document.Routes[0].Objective = "1" }, "routes[0].objective"},
		{"no timeout", func(document *Document) { document.Routes[0].Timeout = "" }, "routes[0].timeout"},
		{"idle timeout", func(document *Document) { document.Limits.IdleTimeout = "x" }, "limits.idle_timeout"},
		{"header timeout", func(document *Document) { document.Limits.HeaderTimeout = "x" }, "limits.header_timeout"},
		{"unknown service", func(document *Document) { document.Routes[0].Pool[0].Service = "other" }, "routes[0].pool[0]"},
		{"no version", func(document *Document) { document.Version = 0 }, "version"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			member := &fakeMember{configuration: exampleConfiguration(1)}
			client := &Client{Members: []string{serveAdmin(t, member), "127.0.0.1:1"}}
			document := DocumentOf(exampleConfiguration(9))
			test.change(&document)
			err := client.Declare(context.Background(), document)
			require.Equal(t, faults.ConfigurationInvalid, faults.CodeOf(err), "%v", err)
			require.ErrorContains(t, err, test.field)
			require.Equal(t, exampleConfiguration(1), member.configuration)
		})
	}
}

func TestUnreadableBodiesAreRefused(t *testing.T) {
	address := serveAdmin(t, &fakeMember{configuration: exampleConfiguration(1)})
	for _, body := range []string{"", "{", `{"version":"7"}`, `{"version":7,"colour":"blue"}`} {
		request, err := http.NewRequest(http.MethodPut, "http://"+address+pathConfiguration, strings.NewReader(body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusBadRequest, response.StatusCode, "%q", body)
	}
}

func TestWithoutAQuorumTheNextMemberIsAsked(t *testing.T) {
	cutOff := &fakeMember{err: faults.New(faults.QuorumUnconfirmed, "cut")}
	healthy := &fakeMember{configuration: exampleConfiguration(3)}
	client := &Client{Members: []string{serveAdmin(t, cutOff), serveAdmin(t, healthy)}}
	read, err := client.Configuration(context.Background())
	require.NoError(t, err)
	require.Equal(t, uint64(3), read.Version)
	client.Members = client.Members[:1]
	_, err = client.Configuration(context.Background())
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf(err))
	_, err = (&Client{}).Configuration(context.Background())
	require.Equal(t, faults.CodeUsage, faults.CodeOf(err))
}

func TestZonesAreEvacuatedAndRestored(t *testing.T) {
	member := &fakeMember{configuration: exampleConfiguration(7)}
	client := &Client{Members: []string{serveAdmin(t, member)}}
	ctx := context.Background()
	require.NoError(t, client.Evacuate(ctx, "a", false))
	listed, err := client.Evacuations(ctx)
	require.NoError(t, err)
	require.Equal(t, []Evacuation{{Zone: "a", Since: 7, Targets: 1, Behind: 3}}, listed)
	require.NoError(t, client.Evacuate(ctx, "a", true))
	listed, err = client.Evacuations(ctx)
	require.NoError(t, err)
	require.Empty(t, listed)
	member.err = faults.New(faults.QuorumUnconfirmed, "no leader")
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf(client.Evacuate(ctx, "a", false)))
}
