package controlnode

import (
	"endivespring/internal/consensus"
	"endivespring/internal/controller"
)

// logUpdate carries what changed in the log from the consensus duty to the
// controller duty. The parts take effect in the order of the fields.
type logUpdate struct {
	snapshot   *consensus.Snapshot
	committed  []consensus.Entry
	leadership *controller.Leadership
	// reportRelease asks the controller duty to confirm on leaseReleased that it
	// has applied this leadership, whose leader lease was released for a
	// transfer.
	reportRelease bool
}
