package direct

// request asks for something to be done; several before it is done are one.
type request chan struct{}

func newRequest() request { return make(request, 1) }

func (r request) ask() {
	select {
	case r <- struct{}{}:
	default: // asked already
	}
}
