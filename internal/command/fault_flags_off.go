//go:build !faults

package command

import (
	"flag"

	"github.com/samber/do/v2"
)

// faultsBuilt is set in builds that can inject clock and disk faults.
const faultsBuilt = false

// faultFlags is empty: this build cannot inject faults.
type faultFlags struct{}

func (faultFlags) declare(*flag.FlagSet) {}

func (faultFlags) provide(do.Injector) {}
