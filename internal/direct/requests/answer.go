package requests

import (
	"net/netip"
	"time"
)

// Answer is what is seen of an answer: answers pass no balancer, but their callers
// acknowledge them through one.
type Answer struct {
	Target Target
	// Route is the address that the caller asked.
	Route netip.AddrPort
	// Took is the time from the latest new data of the request to the first
	// acknowledgement of the answer, and Bytes how many bytes that one covers: all of a
	// short answer, the first packets of a long one.
	Latency time.Duration
	Bytes   int
}

// AnswerObserver is told of answers. Its method must return at once and must not call the
// watcher.
type AnswerObserver interface {
	// Came is told that an answer began to arrive at its caller.
	AnswerStarted(answer Answer)
}

// noAnswers is the observer of a watcher without one.
type noAnswers struct{}

// Came implements AnswerObserver.
func (noAnswers) AnswerStarted(Answer) {}

// ObserveAnswers makes observer be told of answers. It is set before the first packet.
func (watcher *Watcher) ObserveAnswers(observer AnswerObserver) { watcher.answers = observer }
