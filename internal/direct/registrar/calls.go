package registrar

import (
	"context"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
)

// BlockingRegistrar offers the methods of Registrar in a form that waits for the outcome, for
// servers that run a goroutine for each call. Its Register also redirects renewals.
type BlockingRegistrar struct {
	registrar  *Registrar
	redirector *RenewalRedirector
	timeout    time.Duration
}

// NewBlockingRegistrar returns a BlockingRegistrar whose calls end within timeout.
func NewBlockingRegistrar(registrar *Registrar, redirector *RenewalRedirector, timeout time.Duration) *BlockingRegistrar {
	return &BlockingRegistrar{registrar: registrar, redirector: redirector, timeout: timeout}
}

// Register registers or renews a target. It returns the address at which the target is to
// renew from now on, or an empty string if the target may keep choosing.
func (blocking *BlockingRegistrar) Register(ctx context.Context, target directory.Target) (string, error) {
	err := blocking.wait(ctx, func(now, deadline time.Time, done func(error)) {
		blocking.registrar.Register(now, target, deadline, done)
	})
	if err != nil {
		return "", err
	}
	return blocking.redirector.Redirect(time.Now(), target), nil
}

// Leave records that a target leaves permanently.
func (blocking *BlockingRegistrar) Leave(ctx context.Context, departure directory.Departure) error {
	return blocking.wait(ctx, func(now, deadline time.Time, done func(error)) {
		blocking.registrar.Leave(now, departure, deadline, done)
	})
}

// Declare replaces the declared configuration. See Registrar.Declare.
func (blocking *BlockingRegistrar) Declare(ctx context.Context, next *declared.Configuration) error {
	return blocking.wait(ctx, func(now, deadline time.Time, done func(error)) {
		blocking.registrar.Declare(now, next, deadline, done)
	})
}

// Evacuate orders the evacuation of a zone, or ends it when end is set.
func (blocking *BlockingRegistrar) Evacuate(ctx context.Context, zone string, end bool) error {
	return blocking.wait(ctx, func(now, deadline time.Time, done func(error)) {
		order := ZoneOrder{Zone: zone, End: end, CallerWaiting: func() bool { return ctx.Err() == nil }}
		blocking.registrar.Evacuate(now, order, deadline, done)
	})
}

// Evacuations returns the zones under evacuation, confirmed by a quorum.
func (blocking *BlockingRegistrar) Evacuations(ctx context.Context) ([]directory.Evacuation, error) {
	err := blocking.wait(ctx, func(now, deadline time.Time, done func(error)) {
		blocking.registrar.Configuration(now, deadline, func(_ *declared.Configuration, err error) { done(err) })
	})
	if err != nil {
		return nil, err
	}
	evacuations, _ := blocking.registrar.directory.Evacuations()
	return evacuations, nil
}

// Configuration returns the newest declared configuration, confirmed by a quorum.
func (blocking *BlockingRegistrar) Configuration(ctx context.Context) (*declared.Configuration, error) {
	var configuration *declared.Configuration
	err := blocking.wait(ctx, func(now, deadline time.Time, done func(error)) {
		blocking.registrar.Configuration(now, deadline, func(read *declared.Configuration, err error) {
			configuration = read
			done(err)
		})
	})
	if err != nil {
		return nil, err
	}
	return configuration, nil
}

// wait starts a call and waits for its outcome or the end of ctx.
func (blocking *BlockingRegistrar) wait(ctx context.Context, start func(now, deadline time.Time, done func(error))) error {
	now := time.Now()
	results := make(chan error, 1)
	start(now, now.Add(blocking.timeout), func(err error) { results <- err })
	select {
	case err := <-results:
		return err
	case <-ctx.Done():
		return faults.New(faults.ProposalOutcomeUnknown, "the caller's context ended before the answer arrived")
	}
}
