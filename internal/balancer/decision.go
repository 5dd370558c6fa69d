package balancer

import (
	"net/netip"
	"slices"
	"time"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/routing"
)

// Verdict is the outcome of handling a packet.
type Verdict uint8

// The verdicts. Each has a counter. All but VerdictForward and VerdictHint drop
// the packet.
const (
	VerdictForward Verdict = iota
	VerdictUnknownService
	VerdictNoTarget
	VerdictSourceLimit
	VerdictServiceLimit
	VerdictMalformed
	VerdictUnexpectedKind
	VerdictTooLarge
	VerdictSendFailed
	VerdictSendBufferFull
	VerdictHintUnknownService
	VerdictHintForeignTarget
	VerdictHintForeignSender
	// VerdictHint is a hint that was accepted: the flow cache was updated.
	VerdictHint
	verdictCount
)

var verdictNames = [verdictCount]string{
	"forwarded", "unknown_service", "no_target", "source_limit", "service_limit", "malformed", "unexpected_kind",
	"too_large", "send_failed", "send_buffer_full", "hint_unknown_service", "hint_foreign_target", "hint_foreign_sender", "hint",
}

// String returns the verdict's label in metrics.
func (verdict Verdict) String() string { return verdictNames[verdict] }

// Router makes the routing decision for each packet. It is safe for concurrent
// use, performs no I/O, and does not allocate.
type Router struct {
	cache  *flow.Cache
	limits *Limits
}

// NewRouter returns a router with the given flow cache and limits.
func NewRouter(cache *flow.Cache, limits *Limits) *Router {
	return &Router{cache: cache, limits: limits}
}

// Route turns an ingress packet into the packet to forward, in place, and
// returns the target whose agent receives it; the target is nil unless the verdict
// is VerdictForward. The memory of the packet's Chain is reused. Fields that Route does
// not set stay as they are.
func (router *Router) Route(now time.Time, index *Index, encapsulated *packet.Encapsulated) (*targetEntry, Verdict) {
	service, known := index.services[keyOf(encapsulated.Flow)]
	if !known {
		return nil, VerdictUnknownService
	}
	encapsulated.Flow.Protocol = service.protocol
	encapsulated.Opening = packet.IsOpening(service.protocol, encapsulated.Payload)
	hash := routing.FlowHash(encapsulated.Flow)
	bucket := service.buckets.Bucket(routing.BucketOf(hash, service.buckets.Count()))
	encapsulated.Chain = routing.AppendChain(encapsulated.Chain[:0], bucket)
	position, isCached := router.cachedPosition(hash, encapsulated)
	if !isCached && encapsulated.Opening {
		if verdict := router.allowOpening(now, service, encapsulated); verdict != VerdictForward {
			return nil, verdict
		}
	}
	target, position := index.selectTarget(service.id, encapsulated.Chain, position)
	if target == nil {
		return nil, VerdictNoTarget
	}
	encapsulated.Kind = packet.KindForward
	encapsulated.Service = service.id
	encapsulated.Revision = index.revision
	encapsulated.Position = uint8(position)
	encapsulated.Stage = model.StageLookup
	encapsulated.Passes = 0
	encapsulated.PasserLoad = 0
	return target, VerdictForward
}

// cachedPosition returns the position of the flow's cached owner in the chain, and
// whether there is one. An owner that is not in the chain is ignored: by the
// invariant of bucket tables it can own the flow only if the agents have a newer row,
// and then they forward the packet along that row.
func (router *Router) cachedPosition(hash uint64, encapsulated *packet.Encapsulated) (int, bool) {
	owner, cached := router.cache.Lookup(hash, encapsulated.Flow)
	if !cached {
		return 0, false
	}
	position := slices.Index(encapsulated.Chain, owner)
	if position < 0 {
		return 0, false
	}
	return position, true
}

// allowOpening applies the rate limits to a packet that opens a flow. Plain UDP is
// exempt, because any of its packets may be the first of a flow.
func (router *Router) allowOpening(now time.Time, service *serviceEntry, encapsulated *packet.Encapsulated) Verdict {
	if service.protocol == model.ProtocolUDP {
		return VerdictForward
	}
	if !router.limits.allowSource(now, encapsulated.Flow.Source.Addr()) {
		return VerdictSourceLimit
	}
	if !service.openings.AllowN(now, 1) {
		return VerdictServiceLimit
	}
	return VerdictForward
}

// selectTarget returns the first target of the chain that is known, not dead, and
// of the service, and its position. It starts at position and wraps around at the
// end of the chain. The check of the service guarantees that no packet is sent to a
// target of another service, whatever the bucket table says. It returns nil if no
// target qualifies.
func (index *Index) selectTarget(service model.ServiceID, chain []model.TargetID, position int) (*targetEntry, int) {
	for step := range chain {
		candidate := (position + step) % len(chain)
		target, known := index.targets[chain[candidate]]
		if known && !target.isDead && target.service == service {
			return target, candidate
		}
	}
	return nil, 0
}

// Hint caches the owner that an agent reports for a flow. It accepts a hint only if
// the hint's service has the flow's destination address, the owner is a target of
// that service, and the sender has the IP address of that target's agent. A hint that
// is stale when it is used costs extra hops between agents but breaks no flow.
//
// A hint about an opening packet only fills a free cache entry, so that a flood of
// opening packets evicts no established flow.
func (router *Router) Hint(index *Index, sender netip.Addr, hint *packet.Encapsulated) Verdict {
	service, known := index.services[keyOf(hint.Flow)]
	if !known || service.id != hint.Service {
		return VerdictHintUnknownService
	}
	owner, known := index.targets[hint.Owner]
	if !known || owner.service != service.id {
		return VerdictHintForeignTarget
	}
	if owner.agent.Addr() != sender {
		return VerdictHintForeignSender
	}
	hint.Flow.Protocol = service.protocol
	hash := routing.FlowHash(hint.Flow)
	if hint.Opening {
		router.cache.InsertIfFree(hash, hint.Flow, hint.Owner)
	} else {
		router.cache.Insert(hash, hint.Flow, hint.Owner)
	}
	return VerdictHint
}
