//go:build !faults

package command

import (
	"flag"

	"github.com/samber/do/v2"
)

// faultsBuilt is set in builds whose clocks and disks can misbehave.
const faultsBuilt = false

// faultFlags is empty: clocks and disks of this build do not misbehave.
type faultFlags struct{}

func (faultFlags) declare(*flag.FlagSet) {}

func (faultFlags) provide(do.Injector) {}
