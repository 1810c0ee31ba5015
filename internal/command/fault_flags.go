//go:build faults

package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/samber/do/v2"

	"endivespring/internal/clock"
	"endivespring/internal/faultinject"
	"endivespring/internal/storage"
)

// faultsBuilt is set in builds that can inject clock and disk faults.
const faultsBuilt = true

// faultFlags holds the file from which a process reads the faults to inject.
type faultFlags struct{ file string }

func (flags *faultFlags) declare(f *flag.FlagSet) {
	f.StringVar(&flags.file, "trial", "", "`file` with the clock and disk faults to inject; it may change at any time")
}

// provide replaces the clock and wraps the log file so that faults can be injected.
func (flags *faultFlags) provide(injector do.Injector) {
	if flags.file == "" {
		return
	}
	source := faultinject.NewSource(flags.file)
	go func() {
		if err := source.Run(context.Background()); err != nil {
			fmt.Fprintf(os.Stderr, "trial: %v\n", err)
		}
	}()
	do.OverrideValue[clock.Clock](injector, faultinject.NewClock(clock.NewMonotonic(), source))
	do.ProvideValue[storage.FileWrapper](injector, func(f storage.File) storage.File { return faultinject.NewFile(f, source) })
}
