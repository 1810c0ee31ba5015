package soak

import (
	"context"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"endivespring/internal/ring"
)

// Guards against an interruption during the start that is reported as a fleet which did
// not serve within the time for its start.
func TestInterruptedStartIsNoFailureToServe(t *testing.T) {
	fleet := &testFleet{topology: newTopology(drawPlan(1)), callerAddresses: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(2*probeInterval, cancel)
	err := fleet.awaitReady(ctx, ring.New[Command]("commands", 1, ring.Wait))
	assert.Assert(t, eris.Is(err, context.Canceled), "%v", err)
}
