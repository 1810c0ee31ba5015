package relay

import "context"

// generation is the set of connections opened between two resets. Cancelling ctx
// resets them.
type generation struct {
	ctx context.Context
	end context.CancelFunc
}

func newGeneration(parent context.Context) *generation {
	ctx, end := context.WithCancel(parent)
	return &generation{ctx: ctx, end: end}
}
