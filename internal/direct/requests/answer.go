package requests

import (
	"net/netip"
	"time"
)

// Answer describes the beginning of a target's answer. Answers bypass the balancer, so an answer
// is observed only through the caller's acknowledgements, which the balancer forwards.
type Answer struct {
	Target Target
	// Route is the service address that the caller sent the request to.
	Route netip.AddrPort
	// Latency is the time from the latest new data of the request to the first acknowledgement
	// of the answer. Bytes is the number of bytes that this acknowledgement covers: all of a
	// short answer, the first packets of a long one.
	Latency time.Duration
	Bytes   int
}

// AnswerObserver is notified of answers. Its method must return at once and must not call the
// watcher.
type AnswerObserver interface {
	// AnswerStarted reports that an answer began to arrive at its caller.
	AnswerStarted(answer Answer)
}

// noAnswers is the observer of a watcher for which none was set.
type noAnswers struct{}

// AnswerStarted implements AnswerObserver.
func (noAnswers) AnswerStarted(Answer) {}

// ObserveAnswers sets the observer of answers. It must be called before the first packet.
func (watcher *Watcher) ObserveAnswers(observer AnswerObserver) { watcher.answers = observer }
