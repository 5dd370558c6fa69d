// Package caller is a load generator that stands in for a tenant's callers. It sends calls, uploads
// and feeds over HTTP/3 to a virtual address, at a rate that does not depend on answers (open loop).
// It retries with backoff, jitter and a retry budget, checks each answer against its request, and
// writes a report of outcomes and latencies.
//
// It shares no code with the back end stand-in: the same mistake in both would hide faults of the
// system between them.
package caller

import (
	"net/netip"
	"time"
)

// Class is the kind of a request; the report groups requests by it.
type Class string

// The classes.
const (
	// ClassCall is a call that may be repeated.
	ClassCall Class = "call"
	// ClassOnce is a call that may run at most once.
	ClassOnce Class = "once"
	// ClassUpload is an upload.
	ClassUpload Class = "upload"
	// ClassFeed is a long-lived feed of server-sent events.
	ClassFeed Class = "feed"
)

// classes lists all classes.
var classes = []Class{ClassCall, ClassOnce, ClassUpload, ClassFeed}

// Options are the settings of one caller process.
type Options struct {
	// Name makes request identifiers unique among callers.
	Name string
	// Address is the virtual address of the service.
	Address netip.AddrPort
	// Source is the local address to send from; each connection has its own port.
	Source netip.Addr
	// Duration is how long new requests are created.
	Duration time.Duration
	// CallsPerSecond is the mean rate of ClassCall and ClassOnce together.
	CallsPerSecond float64
	// AtMostOnceFraction is the fraction of calls that may run at most once, from 0 to 1.
	AtMostOnceFraction float64
	// UploadsPerSecond is the mean rate of uploads.
	UploadsPerSecond float64
	// UploadBytes is the mean size of an upload.
	UploadBytes int
	// Feeds is the number of feeds that are kept open.
	Feeds int
	// Connections is the number of connections that calls and uploads share.
	Connections int
	// ConnectionLifetime is the mean time after which a connection is replaced; at zero connections
	// are never replaced for their age.
	ConnectionLifetime time.Duration
	// RequestTimeout bounds one request with all its attempts.
	RequestTimeout time.Duration
	// Seed seeds the random arrivals, request bodies and retry jitter.
	Seed uint64
}
