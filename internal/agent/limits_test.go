package agent

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// countingBackend starts a back end that counts its requests, and returns its
// address.
func countingBackend(t *testing.T, requests *atomic.Int32) string {
	return newBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		fmt.Fprint(writer, "called")
	})
}

// Flows beyond a limit of the service are not opened; open flows continue.
func TestNewFlowLimits(t *testing.T) {
	cases := []struct {
		name  string
		limit func(service *model.Service)
	}{
		{"connections", func(service *model.Service) { service.Limits.MaximumConnections = 2 }},
		{"rate of new flows", func(service *model.Service) {
			service.Limits.NewFlowsPerSecond = 0.0001
			service.Limits.NewFlowBurst = 2
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var requests atomic.Int32
			fleet := newFleetWith(t, test.limit, countingBackend(t, &requests))
			first, second, third := fleet.fabric.client(), fleet.fabric.client(), fleet.fabric.client()
			for _, client := range []*http.Client{first, second} {
				_, body := get(t, client, "/call")
				require.Equal(t, "called", body)
			}
			ctx, cancel := context.WithCancel(t.Context())
			failed := make(chan error, 1)
			go func() { failed <- call(ctx, third) }()
			counters := fleet.agents[0].instance.Load().plane.Counters()
			eventually(t, func() bool { return counters.Dropped.Load() > 0 })
			_, body := get(t, first, "/call")
			require.Equal(t, "called", body)
			cancel()
			require.Error(t, receive(t, failed))
			require.Equal(t, 2, fleet.agents[0].instance.Load().ownedFlows.Len())
			require.EqualValues(t, 3, requests.Load())
		})
	}
}

// call sends a request to /call and returns its error.
func call(ctx context.Context, client *http.Client) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+serviceAddress.String()+"/call", nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestHeaderOverTheLimitDoesNotReachTheBackend(t *testing.T) {
	var requests atomic.Int32
	fleet := newFleetWith(t, func(service *model.Service) { service.Limits.MaximumHeaderBytes = 1000 }, countingBackend(t, &requests))
	request, err := http.NewRequest(http.MethodGet, "https://"+serviceAddress.String()+"/call", nil)
	require.NoError(t, err)
	request.Header.Set("X-Filler", strings.Repeat("a", 4000))
	response, err := fleet.fabric.client().Do(request)
	if err == nil {
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
		readAll(t, response)
	}
	require.Zero(t, requests.Load())
}

// A connection without requests is closed after the idle timeout, although the
// QUIC pings of both sides keep it alive. One with an open feed is not closed.
func TestConnectionWithoutRequestsIsClosed(t *testing.T) {
	updates := make(chan string)
	defer close(updates)
	fleet := newFleetWith(t, func(service *model.Service) { service.Limits.IdleTimeout = 2 * time.Second }, feedBackend(t, updates))
	response, err := fleet.fabric.client().Get("https://" + serviceAddress.String() + "/feed")
	require.NoError(t, err)
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	get(t, fleet.fabric.client(), "/call")
	frontend := fleet.agents[0].instance.Load().frontend
	connections, _ := frontend.connections.counts()
	require.Equal(t, 2, connections)
	eventually(t, func() bool {
		send(t, updates, "update")
		line, err := lines.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "update\n", line)
		connections, requests := frontend.connections.counts()
		return connections == 1 && requests == 1
	})
}

// An at-most-once request whose caller does not send the whole body is refused at
// its deadline and does not run.
func TestStalledBodyIsRefusedAtItsDeadline(t *testing.T) {
	var requests atomic.Int32
	fleet := newFleet(t, model.ProtocolQUIC, countingBackend(t, &requests))
	reader, writer := io.Pipe()
	defer writer.Close()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+serviceAddress.String()+"/once", reader)
	require.NoError(t, err)
	request.Header.Set(protocol.HeaderIdempotencyKey, "payout-1")
	request.Header.Set(protocol.HeaderRequestTimeout, "200")
	response, err := fleet.fabric.client().Do(request)
	require.NoError(t, err)
	var problem protocol.Problem
	require.NoError(t, json.Unmarshal([]byte(readAll(t, response)), &problem))
	require.Equal(t, "no", problem.Ran)
	require.Equal(t, int(faults.RequestDeadlinePassed), problem.Code)
	require.Zero(t, requests.Load())
}

// rawRequest is a HEADERS frame of GET / with static QPACK entries (RFC 9204
// appendix A): method 17, scheme 23, path 1, and the authority "a".
var rawRequest = []byte{0x01, 0x08, 0x00, 0x00, 0xd1, 0xd7, 0xc1, 0x50, 0x01, 'a'}

// rawConnection opens a QUIC connection without an HTTP/3 client, which would not
// send requests after GOAWAY.
func rawConnection(t *testing.T, fleet *fleet) *quic.Conn {
	t.Helper()
	connection, err := dialRaw(t.Context(), newRawTransport(t, fleet))
	require.NoError(t, err)
	return connection
}

// newRawTransport returns the QUIC transport of a new caller.
func newRawTransport(t *testing.T, fleet *fleet) *quic.Transport {
	caller, _ := fleet.fabric.newCaller(model.ProtocolQUIC)
	transport := &quic.Transport{Conn: caller}
	t.Cleanup(func() {
		_ = transport.Close()
		_ = caller.Close()
	})
	return transport
}

// dialRaw opens a QUIC connection with an HTTP/3 control stream. It may be called from any goroutine.
func dialRaw(ctx context.Context, transport *quic.Transport) (*quic.Conn, error) {
	connection, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(serviceAddress),
		&tls.Config{InsecureSkipVerify: true, ServerName: "localhost", NextProtos: []string{http3.NextProtoH3}},
		&quic.Config{MaxIdleTimeout: waitTimeout, KeepAlivePeriod: time.Second})
	if err != nil {
		return nil, err
	}
	control, err := connection.OpenUniStream()
	if err != nil {
		return nil, err
	}
	// The type of a control stream and an empty SETTINGS frame.
	_, err = control.Write([]byte{0x00, 0x04, 0x00})
	return connection, err
}

// openRequest sends a request that must not be rejected while it is sent.
func openRequest(t *testing.T, connection *quic.Conn) *quic.Stream {
	stream, err := sendRequest(t, connection)
	require.NoError(t, err)
	return stream
}

// sendRequest sends a request on a new stream. The peer may reject it before it is
// written: then the stream is nil and the error has the peer's code. It may also reject
// it before the stream is closed: then the error lacks the code, and reading the stream
// returns it.
func sendRequest(t *testing.T, connection *quic.Conn) (*quic.Stream, error) {
	stream, err := connection.OpenStreamSync(t.Context())
	require.NoError(t, err)
	if _, err = stream.Write(rawRequest); err != nil {
		return nil, err
	}
	return stream, stream.Close()
}

// exchange sends a request and reads its answer. It returns the error with which the
// peer rejected the request, no matter whether it did so before, while or after the
// request was sent.
func exchange(t *testing.T, connection *quic.Conn) error {
	stream, err := sendRequest(t, connection)
	if stream == nil {
		return err
	}
	require.NoError(t, stream.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err = io.ReadAll(stream)
	return err
}

// A request that is sent after GOAWAY is rejected with H3_REQUEST_REJECTED, which
// says that it did not run. A request in progress runs to its end.
func TestRequestAfterGoAwayIsRejected(t *testing.T) {
	var requests atomic.Int32
	release := make(chan struct{})
	fleet := newFleet(t, model.ProtocolQUIC, newBackend(t, func(writer http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 1 {
			<-release
		}
		fmt.Fprint(writer, "called")
	}))
	unblockBackend := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblockBackend)
	connection := rawConnection(t, fleet)
	before := openRequest(t, connection)
	eventually(t, func() bool { return requests.Load() == 1 })
	fleet.setPhase(1, model.PhaseDraining)
	eventually(t, func() bool { return !fleet.agents[0].accepting.Load() })
	// GOAWAY follows shortly after. A request that arrives before it runs.
	require.Equal(t, 1+answeredBeforeRejection(t, connection), requests.Load(), "rejected requests must not run")
	unblockBackend()
	answer, err := io.ReadAll(before)
	require.NoError(t, err)
	require.Contains(t, string(answer), "called")
}

// An idle connection gets GOAWAY before it is closed. A request that is in transit
// at that moment is therefore rejected as not run, instead of being cut off with
// an unknown outcome.
func TestIdleConnectionGetsGoAwayBeforeClose(t *testing.T) {
	var requests atomic.Int32
	fleet := newFleetWith(t, func(service *model.Service) { service.Limits.IdleTimeout = time.Second }, countingBackend(t, &requests))
	connection := rawConnection(t, fleet)
	connections := fleet.agents[0].instance.Load().frontend.connections
	eventually(t, func() bool {
		connections.lock.Lock()
		defer connections.lock.Unlock()
		for _, state := range connections.states {
			return state.shuttingDown
		}
		return false
	})
	require.Equal(t, answeredBeforeRejection(t, connection), requests.Load(), "rejected requests must not run")
}

// answeredBeforeRejection sends requests until one is rejected as not run, and
// returns how many were answered before.
func answeredBeforeRejection(t *testing.T, connection *quic.Conn) int32 {
	answered := int32(0)
	eventually(t, func() bool {
		err := exchange(t, connection)
		if err == nil {
			answered++
			return false
		}
		var reset *quic.StreamError
		require.ErrorAs(t, err, &reset)
		return http3.ErrCode(reset.ErrorCode) == http3.ErrCodeRequestRejected
	})
	return answered
}

// A connection whose handshake completes after the drain began gets GOAWAY: its
// requests are rejected as not run, so that the caller retries them at another
// target.
func TestConnectionOpenedDuringDrainGetsGoAway(t *testing.T) {
	var requests atomic.Int32
	fleet := newFleet(t, model.ProtocolQUIC, countingBackend(t, &requests))
	fleet.fabric.dropAnswers.Store(true)
	transport := newRawTransport(t, fleet)
	var connection *quic.Conn
	opened := make(chan error, 1)
	go func() {
		var err error
		connection, err = dialRaw(t.Context(), transport)
		opened <- err
	}()
	// Before that the agent refuses the connection, and the caller opens another one.
	eventually(t, func() bool { return trackedConnections(fleet.agents[0]) == 1 })
	fleet.setPhase(1, model.PhaseDraining)
	eventually(t, func() bool { return !fleet.agents[0].accepting.Load() })
	fleet.fabric.dropAnswers.Store(false)
	require.NoError(t, receive(t, opened))
	require.Equal(t, answeredBeforeRejection(t, connection), requests.Load(), "rejected requests must not run")
	require.NoError(t, fleet.agents[0].Drain(t.Context()))
}

// trackedConnections returns the number of connections that the agent's QUIC server has not refused and
// that have not ended, those in their handshake included.
func trackedConnections(agent *Agent) int {
	frontend := agent.instance.Load().frontend
	frontend.lock.Lock()
	defer frontend.lock.Unlock()
	count := 0
	for _, connections := range frontend.connectionsByCaller {
		count += connections
	}
	return count
}

// An agent opens no flow before its QUIC server accepts connections: the caller's first one would be refused.
func TestServerAcceptsBeforeFlowsAreOpened(t *testing.T) {
	var requests atomic.Int32
	fleet := newFleet(t, model.ProtocolQUIC, countingBackend(t, &requests))
	agent := fleet.agents[0]
	fleet.setPhase(1, model.PhaseDraining)
	eventually(t, func() bool { return !agent.accepting.Load() })

	connections := agent.instance.Load().frontend.connections
	connections.lock.Lock() // the server cannot begin to accept
	unlock := sync.OnceFunc(connections.lock.Unlock)
	t.Cleanup(unlock)
	fleet.setPhase(1, model.PhaseServing)
	require.Never(t, agent.accepting.Load, 100*time.Millisecond, time.Millisecond)
	unlock()
	fleet.waitAccepting(1)
	require.True(t, connections.accepting())
}
