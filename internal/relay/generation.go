package relay

import "context"

// generation ends the connections that are open at one moment.
type generation struct {
	ctx context.Context
	end context.CancelFunc
}

func newGeneration(parent context.Context) *generation {
	ctx, end := context.WithCancel(parent)
	return &generation{ctx: ctx, end: end}
}
