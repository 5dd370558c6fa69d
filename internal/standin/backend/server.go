// Package backend stands in for a tenant's back end. It is an HTTP/1.1 server with a limited number
// of slots, a cold start, load shedding, feeds, health and load reports, and fault injection. Its
// ledger records which requests ran, so that the callers' reports can be checked against it. For
// plain datagram services it echoes datagrams instead.
//
// It shares no code with the caller stand-in: the same mistake in both would hide faults of the
// system between them.
package backend

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
)

// Names of request and answer headers.
const (
	headerRequestID       = "X-Request-Id"
	headerCallerRequestID = "X-Caller-Request-Id"
	headerIdempotencyKey  = "Idempotency-Key"
	headerTimeout         = "Request-Timeout"
	headerRan             = "Request-Ran"
	headerLastEventID     = "Last-Event-ID"
)

// Request classes as the ledger names them.
const (
	classCall   = "call"
	classOnce   = "once"
	classUpload = "upload"
	classFeed   = "feed"
)

// initialColdStartFactor is the factor by which work takes longer right after the start. The factor
// falls linearly to one over Options.ColdStart.
const initialColdStartFactor = 4.0

// maximumUploadBytes bounds the body of a call or upload.
const maximumUploadBytes = 256 << 20

// Options are the settings of one back end.
type Options struct {
	// Node is the back end's name.
	Node string
	// Slots is the number of calls and uploads that may run at once.
	Slots int
	// ServiceTime is the mean time of work, without the cold start.
	ServiceTime time.Duration
	// FeedInterval is the time between a feed's updates.
	FeedInterval time.Duration
	// ColdStart is how long after the start work takes longer.
	ColdStart time.Duration
	// LateBy is how long the Late fault delays answers.
	LateBy time.Duration
}

// Server is one back end.
type Server struct {
	options      Options
	ledger       *Ledger
	started      time.Time
	slots        chan struct{}
	running      atomic.Int64
	feeds        atomic.Int64
	draining     atomic.Bool
	faults       faultSet
	frozen       frozenReports
	latestAnswer latestAnswer
	sequence     atomic.Uint64
	ledgerErr    atomic.Pointer[error]
}

// latestAnswer holds the latest answer, for the Crossed fault.
type latestAnswer struct {
	lock   sync.Mutex
	answer *answer
}

// swap stores current and returns the answer stored before it, or nil.
func (store *latestAnswer) swap(current *answer) *answer {
	store.lock.Lock()
	defer store.lock.Unlock()
	previous := store.answer
	store.answer = current
	return previous
}

// NewServer returns a back end that records runs in ledger. Its cold start begins now.
func NewServer(options Options, ledger *Ledger) *Server {
	return &Server{
		options: options,
		ledger:  ledger,
		started: time.Now(),
		slots:   make(chan struct{}, options.Slots),
	}
}

// SetFaults replaces the active faults. It first captures the health and load that HealthFrozen and
// LoadFrozen report.
func (server *Server) SetFaults(faults []Misbehavior) {
	server.frozen.capture(server.actualHealth(), server.actualLoad())
	server.faults.replace(faults)
}

// Err returns the first ledger write error, or nil. Without a complete ledger the results of a run
// cannot be checked.
func (server *Server) Err() error {
	if err := server.ledgerErr.Load(); err != nil {
		return *err
	}
	return nil
}

// Handler returns the back end's HTTP interface.
func (server *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(echoRequestID)
	router.Get("/health", server.serveHealth)
	router.Get("/load", server.serveLoad)
	router.Put("/control", server.serveControl)
	router.HandleFunc("/call*", server.serveWork(classCall))
	router.Post("/once*", server.serveWork(classOnce))
	router.Post("/upload*", server.serveWork(classUpload))
	router.Get("/feed*", server.serveFeed)
	return router
}

// record appends to the ledger and keeps the first error for Err.
func (server *Server) record(event Event, run runIdentity, updates int) {
	err := server.ledger.Append(Entry{
		At:      time.Now(),
		Event:   event,
		Node:    server.options.Node,
		Request: run.request,
		Key:     run.key,
		Class:   run.class,
		Updates: updates,
	})
	if err != nil {
		server.ledgerErr.CompareAndSwap(nil, &err)
	}
}

// runIdentity identifies one run in the ledger and in its answer.
type runIdentity struct {
	// request is the request's identifier from X-Caller-Request-Id, else from X-Request-Id.
	request string
	// headerID is the request's X-Request-Id, which the answer's header must repeat.
	headerID string
	key      string
	class    string
}

func identify(request *http.Request, class string) runIdentity {
	identity := runIdentity{
		request:  request.Header.Get(headerCallerRequestID),
		headerID: request.Header.Get(headerRequestID),
		key:      request.Header.Get(headerIdempotencyKey),
		class:    class,
	}
	if identity.request == "" {
		identity.request = identity.headerID
	}
	return identity
}

// acquireSlot takes a slot if one is free, and reports whether it did.
func (server *Server) acquireSlot() bool {
	select {
	case server.slots <- struct{}{}:
		server.running.Add(1)
		return true
	default:
		return false
	}
}

func (server *Server) releaseSlot() {
	server.running.Add(-1)
	<-server.slots
}

// workTime returns a random, exponentially distributed duration for the work of one request, longer
// during the cold start.
func (server *Server) workTime() time.Duration {
	drawn := float64(server.options.ServiceTime) * rand.ExpFloat64()
	return time.Duration(drawn * server.coldStartFactor(time.Now()))
}

// coldStartFactor returns the factor by which work takes longer at now; it is one after the cold
// start.
func (server *Server) coldStartFactor(now time.Time) float64 {
	age := now.Sub(server.started)
	if age >= server.options.ColdStart {
		return 1
	}
	left := 1 - float64(age)/float64(server.options.ColdStart)
	return 1 + (initialColdStartFactor-1)*left
}

// writeProblem writes an error answer (RFC 9457). ran states whether the request was run: "no" or
// "unknown".
func writeProblem(writer http.ResponseWriter, status int, ran, detail string) {
	writer.Header().Set("Content-Type", "application/problem+json")
	writer.Header().Set(headerRan, ran)
	if status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", "1")
	}
	writer.WriteHeader(status)
	fmt.Fprintf(writer, `{"title":%q,"status":%d,"ran":%q,"detail":%q}`, http.StatusText(status), status, ran, detail)
}
