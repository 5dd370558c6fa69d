package registrar

import (
	"context"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
)

// BlockingRegistrar has the registrar's methods in a form that waits for the outcome, for
// servers that run a goroutine for each call.
type BlockingRegistrar struct {
	registrar *Registrar
	handOver  *RenewalRedirector
	within    time.Duration
}

// NewBlockingRegistrar returns calls that end within a time.
func NewBlockingRegistrar(registrar *Registrar, handOver *RenewalRedirector, within time.Duration) *BlockingRegistrar {
	return &BlockingRegistrar{registrar: registrar, handOver: handOver, within: within}
}

// Register takes a target's registration or renewal. It returns the address at
// which the target is to renew from now on, or nothing for "where it likes".
func (calls *BlockingRegistrar) Register(ctx context.Context, stated directory.Target) (string, error) {
	err := calls.wait(ctx, func(now, deadline time.Time, done func(error)) {
		calls.registrar.Register(now, stated, deadline, done)
	})
	if err != nil {
		return "", err
	}
	return calls.handOver.Redirect(time.Now(), stated), nil
}

// Leave takes a target's notice that it leaves for good.
func (calls *BlockingRegistrar) Leave(ctx context.Context, departure directory.Departure) error {
	return calls.wait(ctx, func(now, deadline time.Time, done func(error)) {
		calls.registrar.Leave(now, departure, deadline, done)
	})
}

// Declare replaces the declared configuration.
func (calls *BlockingRegistrar) Declare(ctx context.Context, next *declared.Configuration) error {
	return calls.wait(ctx, func(now, deadline time.Time, done func(error)) {
		calls.registrar.Declare(now, next, deadline, done)
	})
}

// Evacuate orders that a zone is emptied, or, with end, taken back into use.
func (calls *BlockingRegistrar) Evacuate(ctx context.Context, zone string, end bool) error {
	return calls.wait(ctx, func(now, deadline time.Time, done func(error)) {
		order := ZoneOrder{Zone: zone, End: end, CallerWaiting: func() bool { return ctx.Err() == nil }}
		calls.registrar.Evacuate(now, order, deadline, done)
	})
}

// Evacuations returns the zones that are evacuated, confirmed by a quorum.
func (calls *BlockingRegistrar) Evacuations(ctx context.Context) ([]directory.Evacuation, error) {
	err := calls.wait(ctx, func(now, deadline time.Time, done func(error)) {
		calls.registrar.Configuration(now, deadline, func(_ *declared.Configuration, err error) { done(err) })
	})
	if err != nil {
		return nil, err
	}
	held, _ := calls.registrar.directory.Evacuations()
	return held, nil
}

// Configuration returns the newest declared configuration.
func (calls *BlockingRegistrar) Configuration(ctx context.Context) (*declared.Configuration, error) {
	var held *declared.Configuration
	err := calls.wait(ctx, func(now, deadline time.Time, done func(error)) {
		calls.registrar.Configuration(now, deadline, func(read *declared.Configuration, err error) {
			held = read
			done(err)
		})
	})
	if err != nil {
		return nil, err
	}
	return held, nil
}

func (calls *BlockingRegistrar) wait(ctx context.Context, start func(now, deadline time.Time, done func(error))) error {
	now := time.Now()
	answers := make(chan error, 1)
	start(now, now.Add(calls.within), func(err error) { answers <- err })
	select {
	case err := <-answers:
		return err
	case <-ctx.Done():
		return faults.New(faults.OutcomeUnknown, "the caller left before the answer came")
	}
}
