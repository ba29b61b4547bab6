// Package obs provides the logs, metrics and traces of a process.
package obs
