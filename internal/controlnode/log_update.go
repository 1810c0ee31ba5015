package controlnode

import (
	"endivespring/internal/consensus"
	"endivespring/internal/controller"
)

// logUpdate is what the consensus duty tells the controller duty, in order.
type logUpdate struct {
	snapshot   *consensus.Snapshot
	committed  []consensus.Entry
	leadership *controller.Leadership
	// reportRelease asks for a report on the released ring once the leadership,
	// whose lease was given up, is taken.
	reportRelease bool
}
