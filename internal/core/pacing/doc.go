// Package pacing limits how many requests a target that has started or recovered executes at
// once. The limit starts at a part of the target's slots, rises with answers that come in the
// usual time and is halved by slow answers and resets. The package does no I/O and reads no
// clock. docs/design/slow-start.md explains the choices.
package pacing
