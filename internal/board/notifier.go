package board

import "sync"

// Notifier notifies watchers of changes. Notices that a watcher has not read yet are merged into one,
// so a slow watcher does not delay a writer.
type Notifier struct {
	lock     sync.Mutex
	watchers []chan struct{}
}

// Watch registers a watcher and returns its channel, which holds at most one notice.
func (notifier *Notifier) Watch() <-chan struct{} {
	channel := make(chan struct{}, 1)
	notifier.lock.Lock()
	notifier.watchers = append(notifier.watchers, channel)
	notifier.lock.Unlock()
	return channel
}

// Notify sends a notice to every watcher that has no unread one.
func (notifier *Notifier) Notify() {
	notifier.lock.Lock()
	defer notifier.lock.Unlock()
	for _, watcher := range notifier.watchers {
		select {
		case watcher <- struct{}{}:
		default:
		}
	}
}
