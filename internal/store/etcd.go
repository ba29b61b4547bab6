package store

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/store/etcdjson"
)

// DefaultMaxResponse bounds an answer where Options names no bound, in bytes.
const DefaultMaxResponse = 16_000_000

// idleConnections is the number of unused connections kept to an endpoint.
const idleConnections = 4

// Options configures an Etcd.
type Options struct {
	// Endpoints are the gateways, as http://ip:port. At least one.
	Endpoints []string
	// Timeout bounds one call to one endpoint, and the start of a watch.
	Timeout time.Duration
	// MaxResponse bounds one answer, in bytes. Default DefaultMaxResponse.
	MaxResponse int64
	// Counter counts the calls. Default: none.
	Counter Counter
}

// Etcd is a Store behind etcd v3 JSON gateways.
type Etcd struct {
	options Options
	client  *http.Client
	// preferred is the index of the endpoint that answered last.
	preferred atomic.Int64
}

var _ Store = (*Etcd)(nil)

// NewEtcd returns a Store at the endpoints. It sends nothing yet.
func NewEtcd(o Options) *Etcd {
	if o.MaxResponse == 0 {
		o.MaxResponse = DefaultMaxResponse
	}
	if o.Counter == nil {
		o.Counter = noCounter{}
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Etcd{options: o, client: &http.Client{Transport: transport}}
}

// Close closes the unused connections.
func (e *Etcd) Close() { e.client.CloseIdleConnections() }

// Range implements Store.
func (e *Etcd) Range(ctx context.Context, r Range) (RangeResult, error) {
	var answer etcdjson.RangeResponse
	err := e.call(ctx, request{CallRange, etcdjson.PathRange, encodeRange(r), false}, &answer)
	if err != nil {
		return RangeResult{}, err
	}
	return decodeRange(&answer, answer.Header), nil
}

// Txn implements Store.
func (e *Etcd) Txn(ctx context.Context, t Txn) (TxnResult, error) {
	body, writes := encodeTxn(t)
	var answer etcdjson.TxnResponse
	if err := e.call(ctx, request{CallTxn, etcdjson.PathTxn, body, writes}, &answer); err != nil {
		return TxnResult{}, err
	}
	if !answer.Succeeded {
		return TxnResult{}, ErrCompareFailed
	}
	result, err := decodeTxn(t, &answer)
	if err != nil {
		return TxnResult{}, fmt.Errorf("%w: %w", unanswered(writes), err)
	}
	return result, nil
}

// Grant implements Store. A grant whose answer is lost leaves a lease without
// keys behind, which lapses by itself.
func (e *Etcd) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64(math.Ceil(ttl.Seconds()))
	var answer etcdjson.LeaseGrantResponse
	r := request{CallGrant, etcdjson.PathLeaseGrant, etcdjson.LeaseGrantRequest{TTL: seconds}, true}
	if err := e.call(ctx, r, &answer); err != nil {
		return 0, err
	}
	return LeaseID(answer.ID), nil
}

// KeepAlive implements Store. Renewing twice does no harm, so that a lost
// answer fails over like a read.
func (e *Etcd) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	var answer etcdjson.Stream[etcdjson.LeaseKeepAliveResponse]
	r := request{CallKeepAlive, etcdjson.PathLeaseKeepAlive, etcdjson.LeaseKeepAliveRequest{ID: int64(id)}, false}
	if err := e.call(ctx, r, &answer); err != nil {
		return 0, err
	}
	if answer.Result == nil {
		return 0, fmt.Errorf("%w: keepalive without a result", ErrUnavailable)
	}
	if answer.Result.TTL <= 0 {
		return 0, ErrLeaseLapsed
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// Revoke implements Store. Revoking twice does no harm, so that a lost answer
// fails over like a read.
func (e *Etcd) Revoke(ctx context.Context, id LeaseID) error {
	var answer etcdjson.LeaseRevokeResponse
	r := request{CallRevoke, etcdjson.PathLeaseRevoke, etcdjson.LeaseRevokeRequest{ID: int64(id)}, false}
	return e.call(ctx, r, &answer)
}
