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

// DefaultMaxResponse is the default of Options.MaxResponse, in bytes.
const DefaultMaxResponse = 16_000_000

// maxIdleConns is the number of idle connections kept to an endpoint.
const maxIdleConns = 4

// Options configures an Etcd.
type Options struct {
	// Endpoints are the gateways' URLs, as http://ip:port. At least one.
	Endpoints []string
	// Timeout limits one call to one endpoint, and the start of a watch.
	Timeout time.Duration
	// MaxResponse limits one response, in bytes. Default DefaultMaxResponse.
	MaxResponse int64
	// Counter counts the calls. Default: none.
	Counter Counter
}

// Etcd is a Store behind etcd v3 JSON gateways.
type Etcd struct {
	options Options
	client  *http.Client
	// preferred is the index of the endpoint that responded last.
	preferred atomic.Int64
}

var _ Store = (*Etcd)(nil)

// NewEtcd returns a Store at the endpoints. It does not connect yet.
func NewEtcd(o Options) *Etcd {
	if o.MaxResponse == 0 {
		o.MaxResponse = DefaultMaxResponse
	}
	if o.Counter == nil {
		o.Counter = nopCounter{}
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Etcd{options: o, client: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (e *Etcd) Close() { e.client.CloseIdleConnections() }

// Range implements Store.
func (e *Etcd) Range(ctx context.Context, r Range) (RangeResult, error) {
	var response etcdjson.RangeResponse
	err := e.call(ctx, request{CallRange, etcdjson.PathRange, encodeRange(r), false}, &response)
	if err != nil {
		return RangeResult{}, err
	}
	return decodeRange(&response, response.Header), nil
}

// Txn implements Store.
func (e *Etcd) Txn(ctx context.Context, t Txn) (TxnResult, error) {
	body, writes := encodeTxn(t)
	var response etcdjson.TxnResponse
	if err := e.call(ctx, request{CallTxn, etcdjson.PathTxn, body, writes}, &response); err != nil {
		return TxnResult{}, err
	}
	if !response.Succeeded {
		return TxnResult{}, ErrCompareFailed
	}
	result, err := decodeTxn(t, &response)
	if err != nil {
		return TxnResult{}, fmt.Errorf("%w: %w", noResponseError(writes), err)
	}
	return result, nil
}

// Grant implements Store. A grant whose response is lost leaves a lease without
// keys, which expires on its own.
func (e *Etcd) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64(math.Ceil(ttl.Seconds()))
	var response etcdjson.LeaseGrantResponse
	r := request{CallGrant, etcdjson.PathLeaseGrant, etcdjson.LeaseGrantRequest{TTL: seconds}, true}
	if err := e.call(ctx, r, &response); err != nil {
		return 0, err
	}
	return LeaseID(response.ID), nil
}

// KeepAlive implements Store. Renewal is idempotent, so a call whose response
// is lost fails over like a read.
func (e *Etcd) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	var response etcdjson.Stream[etcdjson.LeaseKeepAliveResponse]
	r := request{CallKeepAlive, etcdjson.PathLeaseKeepAlive, etcdjson.LeaseKeepAliveRequest{ID: int64(id)}, false}
	if err := e.call(ctx, r, &response); err != nil {
		return 0, err
	}
	if response.Result == nil {
		return 0, fmt.Errorf("%w: keepalive without a result", ErrUnavailable)
	}
	if response.Result.TTL <= 0 {
		return 0, ErrLeaseLapsed
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke implements Store. Revocation is idempotent, so a call whose response
// is lost fails over like a read.
func (e *Etcd) Revoke(ctx context.Context, id LeaseID) error {
	var response etcdjson.LeaseRevokeResponse
	r := request{CallRevoke, etcdjson.PathLeaseRevoke, etcdjson.LeaseRevokeRequest{ID: int64(id)}, false}
	return e.call(ctx, r, &response)
}
