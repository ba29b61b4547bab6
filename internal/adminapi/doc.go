// Package adminapi defines the HTTP API on the admin address of balancers and
// agents: its paths, the typed JSON answers and a client.
//
// Answers are bounded: lists carry their total and whether they were cut, and
// the client reads at most MaxAnswerBytes.
package adminapi

// The paths of the API. All take GET.
const (
	// PathStatus is served by balancers and agents and answers with a Status.
	PathStatus = "/v1/status"
	// PathFlows is served by agents and answers with a Flows.
	PathFlows = "/v1/flows"
	// PathExplain is served by balancers and agents and answers with an
	// Explanation, or 404 if the service is not declared.
	PathExplain = "/v1/explain"
)

// The query parameters of the API.
const (
	// ParamMembers of PathStatus is a MemberFilter; absent means all.
	ParamMembers = "members"
	// ParamService of PathFlows and PathExplain is a service name.
	ParamService = "service"
	// ParamCaller of PathExplain is the caller's "IP:port".
	ParamCaller = "caller"
	// ParamLimit of PathFlows is the most flows to list, at most MaxFlows.
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

// Bounds of answers.
const (
	// MaxMembers is the most members listed in one Status.
	MaxMembers = 8192
	// MaxFlows is the most flows listed in one Flows.
	MaxFlows = 1000
	// MaxCandidates is the most candidates listed in one Route.
	MaxCandidates = 64
	// MaxAnswerBytes is the most that the client reads of one answer.
	MaxAnswerBytes = 8 << 20
)

// Problem is the body of an answer whose HTTP status is not 200.
type Problem struct {
	Message string `json:"message"`
}
