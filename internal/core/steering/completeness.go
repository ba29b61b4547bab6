package steering

// completeness is why an agent knows all flows of its target's incarnation. A flow that it
// does not know is then absent; otherwise it is unsure. A wrong proof makes balancers reset
// open flows, so each must outlast whatever may come between its writing and its reading:
// docs/PLATFORM.md lists that.
type completeness uint8

const (
	// incomplete means that flows of the incarnation may be unknown.
	incomplete completeness = iota
	// completeFromStart means that the incarnation started while this process ran.
	completeFromStart
	// completeAsUnserved means that no earlier process has served the incarnation,
	// according to the store.
	completeAsUnserved
	// completeByHandOver means that an earlier process handed over all flows at the target's
	// address, whichever incarnation they belong to.
	completeByHandOver
	// completeAfterAbsence means that no target ran when the agent looked.
	completeAfterAbsence
)

// String returns the reason for log lines.
func (c completeness) String() string {
	return [...]string{"none", "started beside the agent", "never served", "hand-over", "no target ran"}[min(c, completeAfterAbsence)]
}

// markComplete records that the agent knows all flows of its target.
func (a *Agent) markComplete(why completeness) {
	t := &a.target
	if why == incomplete || t.complete != incomplete {
		return
	}
	t.complete = why
	a.report(Report{Text: "All flows of the target are known.", Node: t.instance, Why: why.String(), Incarnation: t.incarnation})
}
