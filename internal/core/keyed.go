package core

import "amaranthwheel.example/amaranthwheel/internal/model"

// ClaimState is the state of a key's claim for one request.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimPending waits for the key's owner.
	ClaimPending ClaimState = iota + 1
	// ClaimGranted gives the request the sole right to run under its key.
	ClaimGranted
	// ClaimRefused denies it; Reason tells why.
	ClaimRefused
	// ClaimReplay answers the request with the key's stored answer.
	ClaimReplay
	// ClaimReplayAtHolder leaves the stored answer to the agent that keeps it.
	ClaimReplayAtHolder
)

// Claim is what is known of an Idempotency-Key for one request.
type Claim struct {
	State    ClaimState
	Reason   RefuseReason
	Response *StoredResponse
	Holder   model.NodeID
}

// ClaimSection is the claims of the requests that carry a key. Writer: claims
// controller (package claims).
type ClaimSection struct {
	Claims map[RequestID]Claim
}

// KeyedRequestState is how far a request with a granted key has come.
type KeyedRequestState uint8

// The states of a keyed request.
const (
	// KeyedStarted is a request that may reach a target from now on.
	KeyedStarted KeyedRequestState = iota + 1
	// KeyedNotRun is a request that ended without having run.
	KeyedNotRun
	// KeyedCompleted is a request that was answered.
	KeyedCompleted
	// KeyedOutcomeUnknown is a request that may have run.
	KeyedOutcomeUnknown
)

// KeyedRequestChange is a step in the life of a request with a key.
type KeyedRequestChange struct {
	ID       RequestID
	State    KeyedRequestState
	Status   int
	Response *StoredResponse
}

// KeyedRequestSection is the changes of keyed requests in the current step. Writer:
// admission controller (package admission).
type KeyedRequestSection struct {
	Changes []KeyedRequestChange
}
