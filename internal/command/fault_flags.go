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

// faultsBuilt is set in builds whose clocks and disks can misbehave.
const faultsBuilt = true

// faultFlags says where a process reads what misbehaves.
type faultFlags struct{ file string }

func (t *faultFlags) declare(f *flag.FlagSet) {
	f.StringVar(&t.file, "trial", "", "`file` that says how clock and disk misbehave; it may change at any time")
}

// provide puts a clock and a disk that can misbehave in place of the right ones.
func (t *faultFlags) provide(injector do.Injector) {
	if t.file == "" {
		return
	}
	source := faultinject.NewSource(t.file)
	go func() {
		if err := source.Run(context.Background()); err != nil {
			fmt.Fprintf(os.Stderr, "trial: %v\n", err)
		}
	}()
	do.OverrideValue[clock.Clock](injector, faultinject.NewClock(clock.NewMonotonic(), source))
	do.ProvideValue[storage.Through](injector, func(f storage.File) storage.File { return faultinject.NewFile(f, source) })
}
