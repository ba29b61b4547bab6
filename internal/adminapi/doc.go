// Package adminapi defines the HTTP API on the admin address of balancers and
// agents: its paths, the types of its JSON responses and a client.
//
// Responses are bounded: lists carry their total and whether they were
// truncated, and the client reads at most MaxResponseBytes.
package adminapi

// The paths of the API, for GET requests.
const (
	// PathStatus is served by balancers and agents and returns a Status.
	PathStatus = "/v1/status"
	// PathFlows is served by agents and returns a Flows.
	PathFlows = "/v1/flows"
	// PathExplain is served by balancers and agents and returns an
	// Explanation, or 404 if the service is not declared.
	PathExplain = "/v1/explain"
)

// The query parameters of the API.
const (
	// ParamMembers of PathStatus is a MemberFilter; the default is all members.
	ParamMembers = "members"
	// ParamService of PathFlows and PathExplain is a service name.
	ParamService = "service"
	// ParamCaller of PathExplain is the caller's "IP:port".
	ParamCaller = "caller"
	// ParamLimit of PathFlows is the maximum number of flows to list, at most
	// MaxFlows.
	ParamLimit = "limit"
)

// MemberFilter selects the members that a Status lists.
type MemberFilter string

// The member filters.
const (
	MembersAll       MemberFilter = "all"
	MembersBalancers MemberFilter = "balancers"
	MembersNone      MemberFilter = "none"
)

// Limits of responses.
const (
	// MaxMembers is the maximum number of members in one Status.
	MaxMembers = 8192
	// MaxFlows is the maximum number of flows in one Flows.
	MaxFlows = 1000
	// MaxCandidates is the maximum number of candidates in one Route.
	MaxCandidates = 64
	// MaxResponseBytes is the maximum size of a response that the client accepts.
	MaxResponseBytes = 8 << 20
)

// Problem is the body of a response whose HTTP status is not 200.
type Problem struct {
	Message string `json:"message"`
}
