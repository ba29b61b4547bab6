package direct

// signal is a notification that coalesces: raising one that is pending has no effect.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) raise() {
	select {
	case s <- struct{}{}:
	default: // already pending
	}
}

// clear withdraws a pending notification.
func (s signal) clear() {
	select {
	case <-s:
	default: // none is pending
	}
}
