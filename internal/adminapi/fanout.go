package adminapi

import (
	"context"
	"net/netip"
	"sync"
)

// MaxConcurrentCalls is the maximum number of concurrent calls of FanOut.
const MaxConcurrentCalls = 64

// Result is the outcome of one call of a FanOut: a value or an error.
type Result[T any] struct {
	Node  netip.AddrPort
	Value *T
	Err   error
}

// FanOut calls every node, at most MaxConcurrentCalls concurrently, and returns
// the results in the order of the nodes.
func FanOut[T any](ctx context.Context, nodes []netip.AddrPort, call func(context.Context, netip.AddrPort) (*T, error)) []Result[T] {
	results := make([]Result[T], len(nodes))
	semaphore := make(chan struct{}, MaxConcurrentCalls)
	var wg sync.WaitGroup
	for i, node := range nodes {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			value, err := call(ctx, node)
			results[i] = Result[T]{Node: node, Value: value, Err: err}
		})
	}
	wg.Wait()
	return results
}
