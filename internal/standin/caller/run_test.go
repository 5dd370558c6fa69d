package caller

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/standin/backend"
)

// serve runs an HTTP/3 server with handler on a free loopback port.
func serve(t *testing.T, handler http.Handler) (netip.AddrPort, *http3.Server) {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	server := &http3.Server{Handler: handler, TLSConfig: serverTLS(t), QUICConfig: &quic.Config{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(socket)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		_ = socket.Close()
		<-done
	})
	return socket.LocalAddr().(*net.UDPAddr).AddrPort(), server
}

func serverTLS(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"service.test"}, NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	return http3.ConfigureTLSConfig(&tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: key}},
	})
}

func testOptions(address netip.AddrPort) Options {
	return Options{
		Name:               "caller-1",
		Address:            address,
		Source:             netip.MustParseAddr("127.0.0.1"),
		Duration:           300 * time.Millisecond,
		CallsPerSecond:     100,
		AtMostOnceFraction: 0.5,
		UploadsPerSecond:   20,
		UploadBytes:        100_000,
		Feeds:              3,
		Connections:        4,
		RequestTimeout:     10 * time.Second,
		Seed:               7,
	}
}

// TestRunAgainstBackEnd checks that the caller and the back end stand-in agree on the protocol:
// without faults, every request is delivered and passes the checks.
func TestRunAgainstBackEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	ledger, err := backend.OpenLedger(path)
	require.NoError(t, err)
	defer ledger.Close()
	server := backend.NewServer(backend.Options{Node: "b1", Slots: 1000, FeedInterval: 10 * time.Millisecond}, ledger)
	address, _ := serve(t, server.Handler())
	options := testOptions(address)
	options.ConnectionLifetime = 50 * time.Millisecond

	report := Run(t.Context(), options)

	for _, class := range classes {
		counts := report.Classes[class]
		require.Positive(t, counts.Offered, class)
		require.Equal(t, counts.Offered, counts.Delivered, "%s: %+v %+v", class, counts, report.Examples)
	}
	require.Zero(t, report.Flows.Broken, "%+v", report.Flows)
	require.Equal(t, report.Flows.Opened, report.Flows.ClosedByCaller+report.Flows.ClosedGracefully)
	require.Zero(t, report.Feeds.Missing+report.Feeds.Duplicates)
	require.Positive(t, report.Feeds.Updates)
	require.Len(t, report.DeliveredKeys, report.Classes[ClassOnce].Delivered)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NotEmpty(t, text)
	require.NoError(t, report.Write(filepath.Join(t.TempDir(), "sub", "report.json")))
}

// echoReply writes the correct answer to request.
func echoReply(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(writer, `{"request":%q,"key":%q,"body_bytes":%d,"body_checksum":%q}`,
		request.Header.Get(headerRequestID), request.Header.Get(headerIdempotencyKey), len(body), strconv.FormatUint(xxhash.Sum64(body), 16))
}

// refuse returns a handler that answers 503 with a problem whose ran field is ran.
func refuse(ran string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(writer, `{"code":6001,"ran":%q}`, ran)
	}
}

// resetWith returns a handler that resets the stream with code.
func resetWith(code http3.ErrCode) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		stream, _ := writer.(http3.HTTPStreamer).HTTPStream()
		stream.CancelRead(quic.StreamErrorCode(code))
		stream.CancelWrite(quic.StreamErrorCode(code))
	}
}

func TestOutcomeOfOneAttempt(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    outcomeKind
	}{
		{"correct answer", echoReply, outcomeDelivered},
		{"refused, not run", refuse("no"), outcomeNotRun},
		{"refused, may have run", refuse("unknown"), outcomeUnknown},
		{"refused without a problem", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusBadGateway) }, outcomeUnknown},
		{"rejected stream", resetWith(http3.ErrCodeRequestRejected), outcomeNotRun},
		{"reset stream", resetWith(http3.ErrCodeInternalError), outcomeBroken},
		{"answer to another request", func(writer http.ResponseWriter, request *http.Request) {
			request.Header.Set(headerRequestID, "other")
			echoReply(writer, request)
		}, outcomeCrossed},
		{"cut answer", func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", "500")
			_, _ = io.WriteString(writer, `{"request":`)
			panic(http.ErrAbortHandler)
		}, outcomeBroken},
		{"truncated answer without an error", func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, `{"request":`)
		}, outcomeCrossed},
		{"no answer before the timeout", func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }, outcomeUnknown},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			address, _ := serve(t, testCase.handler)
			recorder := newRecorder()
			options := testOptions(address)
			pool := newPool(options, recorder)
			defer pool.close()
			sender := &sender{options: options, pool: pool, recorder: recorder, retryBudget: newRetryBudget()}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			got := sender.attempt(ctx, job{path: callPath, body: []byte("hello"), key: "k"}, "r.1",
				expectation{attempts: []string{"r.1"}, key: "k", body: []byte("hello")})
			require.Equal(t, testCase.want, got.kind, "%v", got.err)
		})
	}
}

func TestRetriesKeepTheIdempotencyKey(t *testing.T) {
	var attempts atomic.Int32
	keys := make(chan string, 3)
	address, _ := serve(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		number := attempts.Add(1)
		keys <- request.Header.Get(headerIdempotencyKey)
		switch number {
		case 1:
			refuse("unknown")(writer, request)
		case 2:
			refuse("no")(writer, request)
		default:
			echoReply(writer, request)
		}
	}))
	recorder := newRecorder()
	options := testOptions(address)
	pool := newPool(options, recorder)
	sender := &sender{options: options, pool: pool, recorder: recorder, retryBudget: newRetryBudget()}
	sender.send(t.Context(), job{class: ClassOnce, identifier: "r", key: "k", path: oncePath, body: []byte("x")})
	pool.close()
	report := recorder.buildReport(options, time.Now())
	for range 3 {
		require.Equal(t, "k", <-keys)
	}
	require.Equal(t, 1, report.Classes[ClassOnce].Delivered)
	require.Equal(t, 3, report.Classes[ClassOnce].Attempts)
	require.Equal(t, []string{"r.2"}, report.ClaimedNotRun)
}

func TestConnectionFaults(t *testing.T) {
	t.Run("no answer to the handshake", func(t *testing.T) {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		defer socket.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = openFlow(ctx, netip.MustParseAddr("127.0.0.1"), socket.LocalAddr().(*net.UDPAddr).AddrPort())
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
	t.Run("server closes with an error", func(t *testing.T) {
		address, server := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
		recorder := newRecorder()
		options := testOptions(address)
		pool := newPool(options, recorder)
		opened, err := pool.open(t.Context())
		require.NoError(t, err)
		require.NoError(t, opened.connection.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeInternalError), "fault"))
		pool.close()
		require.Equal(t, 1, recorder.buildReport(options, time.Now()).Flows.Broken)
		require.NoError(t, server.Close())
	})
}

// feedScript returns a handler that answers each request of a feed with the next of texts, and
// resets the stream after each but the last. The placeholders in a text are the attempt's identifier
// and the next update's number. That number follows the request's Last-Event-ID, because a reset may
// discard updates that were sent before it. The trailing %[3]s, for an empty string, keeps Fprintf
// from reporting the arguments that a text does not use.
func feedScript(texts ...string) http.HandlerFunc {
	var next atomic.Int32
	return func(writer http.ResponseWriter, request *http.Request) {
		number := int(next.Add(1)) - 1
		last, _ := strconv.Atoi(request.Header.Get(headerLastEventID))
		fmt.Fprintf(writer, texts[min(number, len(texts)-1)]+"%[3]s", request.Header.Get(headerRequestID), last+1, "")
		if number < len(texts)-1 {
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func TestFeedChecks(t *testing.T) {
	const end = "event: end\ndata: {\"request\":%[1]q}\n\n"
	const next = "id: %[2]d\ndata: {\"request\":%[1]q}\n\n"
	update := func(id int) string {
		return fmt.Sprintf("id: %d\ndata: {\"request\":%%[1]q}\n\n", id)
	}
	cases := []struct {
		name                string
		texts               []string
		delivered, broken   int
		missing, duplicates uint64
		crossed             int
	}{
		{"complete", []string{update(1) + update(2) + end}, 1, 0, 0, 0, 0},
		{"gap", []string{update(1) + update(4) + end}, 1, 0, 2, 0, 0},
		{"duplicate", []string{update(1) + update(1) + end}, 1, 0, 0, 1, 0},
		{"cut and resumed", []string{update(1), next + end}, 0, 1, 0, 0, 0},
		{"update of another feed", []string{"id: 1\ndata: {\"request\":\"other\"}\n\n"}, 0, 0, 0, 0, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			address, _ := serve(t, feedScript(testCase.texts...))
			options := testOptions(address)
			options.CallsPerSecond, options.UploadsPerSecond = 0, 0
			options.Feeds = 1
			options.Duration = 3 * time.Second
			report := Run(t.Context(), options)
			counts := report.Classes[ClassFeed]
			require.Equal(t, testCase.delivered, counts.Delivered, "%+v", report)
			require.Equal(t, testCase.broken, counts.Broken, "%+v %+v", counts, report)
			require.Equal(t, testCase.crossed, counts.Crossed)
			require.Equal(t, testCase.missing, report.Feeds.Missing)
			require.Equal(t, testCase.duplicates, report.Feeds.Duplicates)
		})
	}
}

func TestStopAbandonsRequests(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	address, _ := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		cancel(errors.New("stop"))
		<-request.Context().Done()
	}))
	options := testOptions(address)
	options.Feeds = 0
	report := Run(ctx, options)
	for _, class := range classes {
		counts := report.Classes[class]
		require.Zero(t, counts.Broken+counts.Unknown, "%s %+v %+v", class, counts, report.Examples)
	}
}
