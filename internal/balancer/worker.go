package balancer

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/packet/batch"
)

// worker is one receive loop. It has its own buffers and shares the socket, the
// router and the index with the other workers.
type worker struct {
	reader  *batch.Reader
	writer  *batch.Writer
	address netip.AddrPort
	router  *Router
	indexes *IndexController
	metrics *metrics

	decoder      packet.Decoder
	encoder      *packet.Encoder
	encapsulated packet.Encapsulated
}

func newWorker(balancer *Balancer) *worker {
	return &worker{
		reader:  batch.NewReader(balancer.socket),
		writer:  batch.NewWriter(balancer.socket),
		address: balancer.address,
		router:  balancer.router,
		indexes: balancer.indexes,
		metrics: balancer.metrics,
		encoder: packet.NewEncoder(),
	}
}

// run receives and handles packets until the socket is closed.
func (worker *worker) run() error {
	for {
		count, err := worker.reader.Read()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		worker.handleBatch(count)
	}
}

// handleBatch routes the count packets of a batch by one index and sends them in one
// call. The inner packets stay in the reader's buffers until they are sent.
func (worker *worker) handleBatch(count int) {
	index := worker.indexes.current.Load()
	now := time.Now()
	for position := range count {
		verdict := worker.handle(now, index, position)
		if verdict != VerdictForward {
			worker.metrics.count(verdict)
		}
	}
	worker.metrics.countSent(worker.writer.Flush())
	worker.metrics.countLost(worker.reader.Dropped())
}

// handle routes or caches the datagram at a position of the batch, and returns its
// verdict.
func (worker *worker) handle(now time.Time, index *Index, position int) Verdict {
	if err := worker.decoder.Decode(worker.reader.Datagram(position), &worker.encapsulated); err != nil {
		return VerdictMalformed
	}
	switch worker.encapsulated.Kind {
	case packet.KindIngress:
		return worker.forward(now, index)
	case packet.KindHint:
		return worker.router.Hint(index, worker.reader.Sender(position).Addr(), &worker.encapsulated)
	default:
		return VerdictUnexpectedKind
	}
}

// forward routes the decoded packet and queues it in the writer, which has room for
// a full batch.
func (worker *worker) forward(now time.Time, index *Index) Verdict {
	target, verdict := worker.router.Route(now, index, &worker.encapsulated)
	if verdict != VerdictForward {
		return verdict
	}
	worker.encapsulated.Balancer = worker.address
	header, err := worker.encoder.AppendHeader(worker.writer.Header(), &worker.encapsulated)
	if err != nil {
		return encodeErrorVerdict(err)
	}
	worker.writer.Put(header, worker.encapsulated.Inner, target.destination)
	return VerdictForward
}

// encodeErrorVerdict returns the verdict on a packet that could not be encoded.
func encodeErrorVerdict(err error) Verdict {
	if faults.CodeOf(err) == faults.PacketTooLarge {
		return VerdictTooLarge
	}
	return VerdictMalformed
}
