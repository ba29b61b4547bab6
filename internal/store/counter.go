package store

import "github.com/uber-go/tally/v4"

// Call is a kind of call to the store.
type Call string

// The kinds of calls.
const (
	CallRange     Call = "range"
	CallTxn       Call = "txn"
	CallGrant     Call = "lease_grant"
	CallKeepAlive Call = "lease_keepalive"
	CallRevoke    Call = "lease_revoke"
	CallWatch     Call = "watch"
)

// Counter counts the requests sent to the store. A watch counts once, when it
// starts; a call that fails over counts once per endpoint.
type Counter interface {
	Count(call Call)
}

// tallyCounter is a Counter in a metrics scope.
type tallyCounter struct{ counters map[Call]tally.Counter }

// NewTallyCounter returns a Counter that increments the metric store_calls,
// tagged with the kind of call.
func NewTallyCounter(scope tally.Scope) Counter {
	counters := make(map[Call]tally.Counter)
	for _, call := range []Call{CallRange, CallTxn, CallGrant, CallKeepAlive, CallRevoke, CallWatch} {
		counters[call] = scope.Tagged(map[string]string{"call": string(call)}).Counter("store_calls")
	}
	return tallyCounter{counters}
}

// Count implements Counter.
func (c tallyCounter) Count(call Call) { c.counters[call].Inc(1) }

// nopCounter discards all counts.
type nopCounter struct{}

func (nopCounter) Count(Call) {}
