package agent

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/protocol"
)

func TestRequestReachesBackendThroughPackets(t *testing.T) {
	backend := newBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		fmt.Fprintf(writer, "%s %s", request.Method, request.URL.Path)
	})
	fleet := newFleet(t, model.ProtocolQUIC, backend)
	request, err := http.NewRequest(http.MethodGet, "https://"+serviceAddress.String()+"/call/1", nil)
	require.NoError(t, err)
	request.Header.Set(protocol.HeaderRequestID, "mine")
	response, err := fleet.fabric.client().Do(request)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "mine", response.Header.Get(protocol.HeaderRequestID))
	require.Equal(t, "GET /call/1", readAll(t, response))
}

// feedBackend starts a back end whose /feed sends each value of updates as a
// line until updates is closed, and returns its address.
func feedBackend(t *testing.T, updates <-chan string) string {
	return newBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/feed" {
			fmt.Fprint(writer, "called")
			return
		}
		_ = http.NewResponseController(writer).Flush()
		for {
			select {
			case update, more := <-updates:
				if !more {
					return
				}
				fmt.Fprintln(writer, update)
				_ = http.NewResponseController(writer).Flush()
			case <-request.Context().Done():
				return
			}
		}
	})
}

func TestOpenFeedAndUploadSurviveDrain(t *testing.T) {
	updates := make(chan string)
	backend := feedBackend(t, updates)
	fleet := newFleet(t, model.ProtocolQUIC, backend, backend)
	client := fleet.fabric.client()
	response, err := client.Get("https://" + serviceAddress.String() + "/feed")
	require.NoError(t, err)
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	expect := func(update string) {
		t.Helper()
		send(t, updates, update)
		line, err := lines.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, update+"\n", line)
	}
	expect("before")
	owner := fleet.owner()
	fleet.setPhase(owner.instance.Load().target, model.PhaseDraining)
	eventually(t, func() bool { return !owner.accepting.Load() })
	expect("after the drain began")

	// On the same client, a request would be rejected as not run because of
	// GOAWAY, or open a new connection from the same address, which is refused.
	// A caller with another address reaches the other target.
	_, body := get(t, fleet.fabric.client(), "/call")
	require.Equal(t, "called", body)
	require.NotEqual(t, 0, fleet.other(owner).instance.Load().ownedFlows.Len())

	expect("still open")
	close(updates)
	_, err = lines.ReadString('\n')
	require.ErrorIs(t, err, io.EOF)
	eventually(t, func() bool { return owner.instance.Load().ownedFlows.Len() == 0 })
	require.NoError(t, owner.Drain(t.Context()))
}

// A request that still waits for a slot drainQueueGrace after the drain began is
// refused as not run, so that the caller can retry it at another target at once.
// Requests in progress complete.
func TestQueuedRequestsAreRefusedDuringDrain(t *testing.T) {
	var started atomic.Int32
	release := make(chan struct{})
	fleet := newFleet(t, model.ProtocolQUIC, newBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
		started.Add(1)
		<-release
		fmt.Fprint(writer, "called")
	}))
	unblockBackend := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblockBackend)
	client := fleet.fabric.client()
	bodies := make(chan string, 3)
	for range 3 {
		go func() {
			response, err := client.Get("https://" + serviceAddress.String() + "/call")
			if err != nil {
				bodies <- err.Error()
				return
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			bodies <- string(body)
		}()
	}
	gate := fleet.agents[0].instance.Load().gate
	eventually(t, func() bool { return gate.Load().Running == 2 && gate.Load().Waiting == 1 })
	fleet.setPhase(1, model.PhaseDraining)
	require.Contains(t, receive(t, bodies), fmt.Sprintf(`"code":%d`, faults.RequestDraining))
	unblockBackend()
	require.Equal(t, "called", receive(t, bodies))
	require.Equal(t, "called", receive(t, bodies))
	require.EqualValues(t, 2, started.Load())
}

// A target whose drain was canceled accepts new connections again.
func TestUndrainedTargetServesAgain(t *testing.T) {
	fleet := newFleet(t, model.ProtocolQUIC, newBackend(t, func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "called") }))
	_, body := get(t, fleet.fabric.client(), "/call")
	require.Equal(t, "called", body)
	fleet.setPhase(1, model.PhaseDraining)
	eventually(t, func() bool { return !fleet.agents[0].accepting.Load() })
	fleet.setPhase(1, model.PhaseServing)
	fleet.waitAccepting(1)
	_, body = get(t, fleet.fabric.client(), "/call")
	require.Equal(t, "called", body)
}

// A draining agent closes idle connections whose callers do not close them after
// GOAWAY. Otherwise Drain would last until the stop grace is over.
func TestDrainClosesIdleConnections(t *testing.T) {
	fleet := newFleet(t, model.ProtocolQUIC, newBackend(t, func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "called") }))
	client := fleet.fabric.client()
	get(t, client, "/call")
	require.NoError(t, fleet.agents[0].Drain(t.Context()))
	connections, requests := fleet.agents[0].instance.Load().frontend.connections.counts()
	require.Zero(t, connections)
	require.Zero(t, requests)
	eventually(t, func() bool { return fleet.agents[0].instance.Load().ownedFlows.Len() == 0 })
}

func TestStopGraceBoundsDrain(t *testing.T) {
	updates := make(chan string)
	fleet := newFleet(t, model.ProtocolQUIC, feedBackend(t, updates))
	response, err := fleet.fabric.client().Get("https://" + serviceAddress.String() + "/feed")
	require.NoError(t, err)
	defer response.Body.Close()
	fleet.agents[0].settings.Agent.StopGrace = 200 * time.Millisecond
	err = fleet.agents[0].Drain(t.Context())
	require.Equal(t, faults.AgentStopGrace, faults.CodeOf(err))
	close(updates)
}

// A flow whose agent crashed and restarted is ended by a stateless reset.
// Without one, its caller would wait until its idle timeout.
func TestLostFlowIsResetPromptly(t *testing.T) {
	updates := make(chan string)
	defer close(updates)
	backend := feedBackend(t, updates)
	fleet := newFleet(t, model.ProtocolQUIC, backend)
	response, err := fleet.fabric.client().Get("https://" + serviceAddress.String() + "/feed")
	require.NoError(t, err)
	defer response.Body.Close()
	fleet.crashAndRestart(0, backend)
	_, err = io.ReadAll(response.Body)
	var reset *quic.StatelessResetError
	require.ErrorAs(t, err, &reset)
}

// Packets of a flow that are sent to another target of the chain are forwarded to
// the owner, and the balancer gets a hint that names the owner.
func TestPacketsAreForwardedAlongTheChain(t *testing.T) {
	updates := make(chan string)
	defer close(updates)
	backend := feedBackend(t, updates)
	fleet := newFleet(t, model.ProtocolQUIC, backend, backend)
	response, err := fleet.fabric.client().Get("https://" + serviceAddress.String() + "/feed")
	require.NoError(t, err)
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	owner := fleet.owner()
	other := fleet.other(owner)
	fleet.setPhase(owner.instance.Load().target, model.PhaseDraining)
	eventually(t, func() bool { return !owner.accepting.Load() })
	// The head of the chain is now the other target, which forwards the caller's
	// acknowledgements to the owner.
	eventually(t, func() bool {
		send(t, updates, "update")
		line, err := lines.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "update\n", line)
		return other.instance.Load().plane.Counters().Forwarded.Load() > 3 && fleet.fabric.hints.Load() > 3
	})
	require.Zero(t, other.instance.Load().ownedFlows.Len())
}

func TestPacketsOfOtherServicesAreDropped(t *testing.T) {
	fleet := newFleet(t, model.ProtocolQUIC, newBackend(t, func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "called") }))
	counters := fleet.agents[0].instance.Load().plane.Counters()
	serviceFlow := model.FiveTuple{Protocol: model.ProtocolQUIC, Source: netip.MustParseAddrPort("127.0.0.70:1"), Destination: serviceAddress}
	foreignAddress := serviceFlow
	foreignAddress.Destination = netip.MustParseAddrPort("127.0.0.10:443")
	foreignProtocol := serviceFlow
	foreignProtocol.Protocol = model.ProtocolUDP
	cases := []struct {
		name    string
		flow    model.FiveTuple
		service model.ServiceID
		kind    packet.Kind
	}{
		{"another service ID", serviceFlow, 2, packet.KindForward},
		{"another address", foreignAddress, 1, packet.KindForward},
		{"another protocol", foreignProtocol, 1, packet.KindForward},
		{"not a forwarded packet", serviceFlow, 1, packet.KindIngress},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			before := counters.Dropped.Load()
			initial := append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, 1200)...)
			require.NoError(t, fleet.fabric.socket.Send(fleet.agents[0].PacketAddress(), &packet.Encapsulated{
				Kind: test.kind, Service: test.service, Revision: 1, Opening: true, Chain: []model.TargetID{1},
				Flow: test.flow, Inner: packet.BuildInnerUDP(test.flow, initial),
			}))
			eventually(t, func() bool { return counters.Dropped.Load() == before+1 })
			require.Zero(t, counters.Delivered.Load())
			require.Zero(t, fleet.agents[0].instance.Load().ownedFlows.Len())
		})
	}
}

func TestAtMostOnceResponseIsReplayed(t *testing.T) {
	var runs atomic.Int32
	fleet := newFleet(t, model.ProtocolQUIC, newBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(writer, "run %d", runs.Add(1))
	}))
	for attempt := range 2 {
		request, err := http.NewRequest(http.MethodPost, "https://"+serviceAddress.String()+"/once", strings.NewReader("pay"))
		require.NoError(t, err)
		request.Header.Set(protocol.HeaderIdempotencyKey, "payout-1")
		response, err := fleet.fabric.client().Do(request)
		require.NoError(t, err)
		require.Equal(t, "run 1", readAll(t, response))
		require.Equal(t, attempt == 1, response.Header.Get(protocol.HeaderReplayed) == "true")
	}
}

func TestLargeUploadArrivesComplete(t *testing.T) {
	fleet := newFleet(t, model.ProtocolQUIC, newBackend(t, func(writer http.ResponseWriter, request *http.Request) {
		length, err := io.Copy(io.Discard, request.Body)
		fmt.Fprintf(writer, "%d %v", length, err)
	}))
	const size = 2 << 20
	for _, known := range []bool{true, false} {
		body := io.Reader(bytes.NewReader(make([]byte, size)))
		if !known {
			body = io.MultiReader(body)
		}
		response, err := fleet.fabric.client().Post("https://"+serviceAddress.String()+"/upload", "image/jpeg", body)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("%d <nil>", size), readAll(t, response))
	}
}
