package core

import (
	"math/rand/v2"
	"time"
)

// Turn is one step of a node: the event's time, the board and the effects
// collected so far.
type Turn struct {
	Now     time.Time
	Rand    *rand.Rand
	Board   *Board
	effects []Effect
}

// Emit adds an effect to the step.
func (t *Turn) Emit(e Effect) {
	t.effects = append(t.effects, e)
}

// Controller makes the decisions of one concern. Handle may read any section of
// the board and writes only its own.
type Controller interface {
	Handle(t *Turn, ev Event)
}

// Node is a board with its controllers. It is not safe for concurrent use.
type Node struct {
	board       *Board
	rand        *rand.Rand
	controllers []Controller
}

// NewNode returns a node whose controllers run in the given order. The seed
// makes its random choices reproducible.
func NewNode(board *Board, seed uint64, controllers ...Controller) *Node {
	return &Node{board: board, rand: rand.New(rand.NewPCG(seed, seed)), controllers: controllers}
}

// Board returns the node's board, for reading between steps.
func (n *Node) Board() *Board { return n.board }

// Step passes one event to the controllers and returns their effects in the
// order in which they were emitted.
func (n *Node) Step(now time.Time, ev Event) []Effect {
	t := Turn{Now: now, Rand: n.rand, Board: n.board}
	for _, c := range n.controllers {
		c.Handle(&t, ev)
	}
	return t.effects
}
