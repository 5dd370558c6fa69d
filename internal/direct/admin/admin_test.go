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

// holder is a stand-in for a member's calls.
type holder struct {
	held *declared.Configuration
	err  error
	// evacuated is the zone that is emptied, or empty.
	evacuated string
}

func (holder *holder) Declare(_ context.Context, next *declared.Configuration) error {
	if err := next.Validate(); err != nil {
		return err
	}
	if holder.err == nil {
		holder.held = next
	}
	return holder.err
}

func (holder *holder) Configuration(context.Context) (*declared.Configuration, error) {
	return holder.held, holder.err
}

func (holder *holder) Evacuate(_ context.Context, zone string, end bool) error {
	switch {
	case holder.err != nil:
		return holder.err
	case end:
		holder.evacuated = ""
	default:
		holder.evacuated = zone
	}
	return nil
}

func (holder *holder) Evacuations(context.Context) ([]directory.Evacuation, error) {
	if holder.evacuated == "" || holder.err != nil {
		return nil, holder.err
	}
	return []directory.Evacuation{{Zone: holder.evacuated, Since: 7}}, nil
}

// Behind implements Followers.
func (holder *holder) Behind(revision model.Revision) int { return int(revision) - 4 }

func example(version uint64) *declared.Configuration {
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

// serve runs a member's interface and returns its address.
func serve(t *testing.T, holder *holder) string {
	t.Helper()
	state := directory.New()
	data, err := directory.EncodeCommand(directory.Command{Register: &directory.Registration{Target: directory.Target{
		ID: 0x7f3a, Service: "feed", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a", State: directory.TargetReady, Sequence: 1,
	}}})
	require.NoError(t, err)
	state.Apply(1, time.Time{}, data)
	server := httptest.NewServer(Handler(holder, state, holder, zap.NewNop()))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestDocumentsKeepEveryField(t *testing.T) {
	stated := example(7)
	document := DocumentOf(stated)
	back, err := document.Configuration()
	require.NoError(t, err)
	require.Equal(t, stated, back)
}

func TestConfigurationIsDeclaredAndRead(t *testing.T) {
	holder := &holder{held: example(1)}
	client := &Client{Members: []string{"127.0.0.1:1", serve(t, holder)}}
	ctx := context.Background()
	require.NoError(t, client.Declare(ctx, DocumentOf(example(9))), "a member that cannot be reached is passed over")
	require.Equal(t, example(9), holder.held)
	read, err := client.Configuration(ctx)
	require.NoError(t, err)
	require.Equal(t, DocumentOf(example(9)), read)
	targets, err := client.Targets(ctx)
	require.NoError(t, err)
	require.Equal(t, []Target{{ID: 0x7f3a, Token: 1, Service: "feed", Address: "10.0.0.1:80", Zone: "a", State: "ready", Revision: 1}}, targets)
}

func TestBadInputIsRefusedWithItsField(t *testing.T) {
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
			holder := &holder{held: example(1)}
			client := &Client{Members: []string{serve(t, holder), "127.0.0.1:1"}}
			document := DocumentOf(example(9))
			test.change(&document)
			err := client.Declare(context.Background(), document)
			require.Equal(t, faults.ConfigurationInvalid, faults.CodeOf(err), "%v", err)
			require.ErrorContains(t, err, test.field)
			require.Equal(t, example(1), holder.held)
		})
	}
}

func TestUnreadableBodiesAreRefused(t *testing.T) {
	address := serve(t, &holder{held: example(1)})
	for _, body := range []string{"", "{", `{"version":"7"}`, `{"version":7,"colour":"blue"}`} {
		request, err := http.NewRequest(http.MethodPut, "http://"+address+pathConfiguration, strings.NewReader(body))
		require.NoError(t, err)
		answer, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.Equal(t, http.StatusBadRequest, answer.StatusCode, "%q", body)
	}
}

func TestWithoutAQuorumTheNextMemberIsAsked(t *testing.T) {
	lost := &holder{err: faults.New(faults.QuorumUnconfirmed, "cut")}
	well := &holder{held: example(3)}
	client := &Client{Members: []string{serve(t, lost), serve(t, well)}}
	read, err := client.Configuration(context.Background())
	require.NoError(t, err)
	require.Equal(t, uint64(3), read.Version)
	client.Members = client.Members[:1]
	_, err = client.Configuration(context.Background())
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf(err))
	_, err = (&Client{}).Configuration(context.Background())
	require.Equal(t, faults.CodeUsage, faults.CodeOf(err))
}

func TestZonesAreEmptiedAndTakenBack(t *testing.T) {
	holder := &holder{held: example(7)}
	client := &Client{Members: []string{serve(t, holder)}}
	ctx := context.Background()
	require.NoError(t, client.Evacuate(ctx, "a", false))
	listed, err := client.Evacuations(ctx)
	require.NoError(t, err)
	require.Equal(t, []Evacuation{{Zone: "a", Since: 7, Targets: 1, Behind: 3}}, listed)
	require.NoError(t, client.Evacuate(ctx, "a", true))
	listed, err = client.Evacuations(ctx)
	require.NoError(t, err)
	require.Empty(t, listed)
	holder.err = faults.New(faults.QuorumUnconfirmed, "no leader")
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf(client.Evacuate(ctx, "a", false)))
}
