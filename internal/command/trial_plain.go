//go:build !faults

package command

import (
	"flag"

	"github.com/samber/do/v2"
)

// trialBuilt is set in builds whose clocks and disks can misbehave.
const trialBuilt = false

// trialFlags is empty: clocks and disks of this build do not misbehave.
type trialFlags struct{}

func (trialFlags) set(*flag.FlagSet) {}

func (trialFlags) provide(do.Injector) {}
