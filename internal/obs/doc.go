// Package obs lets operators see what a process does: its log lines, metrics
// and traces.
package obs
