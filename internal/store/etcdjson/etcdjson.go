// Package etcdjson holds the messages of the etcd v3 JSON gateway, as far as
// the product uses them.
//
// The gateway writes 64-bit integers as strings and bytes as standard base64,
// and leaves out zero fields.
package etcdjson

// Paths of the gateway's calls. All are POST.
const (
	PathRange          = "/v3/kv/range"
	PathTxn            = "/v3/kv/txn"
	PathLeaseGrant     = "/v3/lease/grant"
	PathLeaseKeepAlive = "/v3/lease/keepalive"
	PathLeaseRevoke    = "/v3/lease/revoke"
	PathWatch          = "/v3/watch"
)

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is a key with its value and metadata. A deleted key has only Key and
// ModRevision set.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys from Key to RangeEnd, exclusive, or only Key if
// RangeEnd is empty.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Limit is the largest number of pairs to return; 0 means no limit.
	Limit          int64 `json:"limit,string,omitempty"`
	MinModRevision int64 `json:"min_mod_revision,string,omitempty"`
}

// RangeResponse is the response to a RangeRequest, in key order.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// PutRequest writes a pair.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// PutResponse is the response to a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes the keys that a RangeRequest would read.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse is the response to a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

// Values of Compare.Result and Compare.Target.
const (
	CompareEqual = "EQUAL"
	CompareMod   = "MOD"
)

// Compare is one condition of a transaction: it compares the key's ModRevision
// with the given one by the operator Result. An absent key has ModRevision 0.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"requestRange,omitempty"`
	Put         *PutRequest         `json:"requestPut,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"requestDeleteRange,omitempty"`
}

// ResponseOp is the response to a RequestOp; exactly one field is set.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest runs Success if all conditions hold, Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseGrantRequest creates a lease. TTL is in seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseGrantResponse is the response to a LeaseGrantRequest. TTL is in seconds.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// LeaseKeepAliveRequest renews a lease.
type LeaseKeepAliveRequest struct {
	ID int64 `json:"ID,string,omitempty"`
}

// LeaseKeepAliveResponse is the response to a LeaseKeepAliveRequest. TTL is in
// seconds; 0 means that the lease has lapsed. The gateway sends it as the Result
// of a Stream.
type LeaseKeepAliveResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// LeaseRevokeRequest revokes a lease and deletes its keys.
type LeaseRevokeRequest struct {
	ID int64 `json:"ID,string,omitempty"`
}

// LeaseRevokeResponse is the response to a LeaseRevokeRequest.
type LeaseRevokeResponse struct {
	Header Header `json:"header"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	Create *WatchCreateRequest `json:"create_request,omitempty"`
}

// WatchCreateRequest requests the events of a key or range, starting at a
// revision.
type WatchCreateRequest struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// EventDelete is the Type of a deletion; a put has none.
const EventDelete = "DELETE"

// Event is one change that a watch reports.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Header   Header `json:"header"`
	Created  bool   `json:"created,omitempty"`
	Canceled bool   `json:"canceled,omitempty"`
	// CompactRevision is set if the start revision has been compacted.
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Stream is one message of a streamed response; exactly one field is set.
type Stream[T any] struct {
	Result *T     `json:"result,omitempty"`
	Error  *Error `json:"error,omitempty"`
}

// Error is the body of a failed call.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}
