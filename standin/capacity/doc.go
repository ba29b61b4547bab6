// Package capacity measures what one more target, flow or message costs, and
// works out from these slopes what each role costs at the size that the project
// plans for. It writes the result as docs/CAPACITY.md.
//
// Measurements run in one process on loopback. Each is repeated, and the page
// shows the median with the least and the greatest figure.
package capacity
