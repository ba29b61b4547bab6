package core

import "amaranthwheel.example/amaranthwheel/internal/model"

// ClaimState is the state of a key's claim for one request.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimPending waits for the reply of the key's owner.
	ClaimPending ClaimState = iota + 1
	// ClaimGranted gives the request the exclusive right to run under its key.
	ClaimGranted
	// ClaimRefused denies that right; Reason says why.
	ClaimRefused
	// ClaimReplay answers the request with the key's stored response.
	ClaimReplay
	// ClaimReplayAtHolder leaves the replay to the agent that stores the
	// response.
	ClaimReplayAtHolder
)

// Claim is the state of an Idempotency-Key for one request.
type Claim struct {
	State    ClaimState
	Reason   RefuseReason
	Response *StoredResponse
	Holder   model.NodeID
}

// ClaimSection holds the claims of the requests that carry a key. Writer:
// claims controller (package claims).
type ClaimSection struct {
	Claims map[RequestID]Claim
}

// KeyedRequestState is the progress of a request whose claim was granted.
type KeyedRequestState uint8

// The states of a keyed request.
const (
	// KeyedStarted is a request that may reach a target from now on.
	KeyedStarted KeyedRequestState = iota + 1
	// KeyedNotRun is a request that ended without running.
	KeyedNotRun
	// KeyedCompleted is a request that got a complete response.
	KeyedCompleted
	// KeyedOutcomeUnknown is a request that may have run.
	KeyedOutcomeUnknown
)

// KeyedRequestChange is a change to the state of a request with a key.
type KeyedRequestChange struct {
	ID       RequestID
	State    KeyedRequestState
	Status   int
	Response *StoredResponse
}

// KeyedRequestSection lists the state changes of keyed requests in the current
// step. Writer: admission controller (package admission).
type KeyedRequestSection struct {
	Changes []KeyedRequestChange
}
