package adminapi

import (
	"context"
	"net/netip"
	"sync"
)

// MaxConcurrentCalls bounds the calls that FanOut has open at once.
const MaxConcurrentCalls = 64

// Answer is one node's answer in a FanOut: a value or an error.
type Answer[T any] struct {
	Node  netip.AddrPort
	Value *T
	Err   error
}

// FanOut calls every node, MaxConcurrentCalls at a time, and returns the
// answers in the order of the nodes.
func FanOut[T any](ctx context.Context, nodes []netip.AddrPort, call func(context.Context, netip.AddrPort) (*T, error)) []Answer[T] {
	answers := make([]Answer[T], len(nodes))
	slots := make(chan struct{}, MaxConcurrentCalls)
	var pending sync.WaitGroup
	for i, node := range nodes {
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			value, err := call(ctx, node)
			answers[i] = Answer[T]{Node: node, Value: value, Err: err}
		})
	}
	pending.Wait()
	return answers
}
