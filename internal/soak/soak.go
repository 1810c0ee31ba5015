// Package soak tests a fleet of real processes by fault injection. It draws a plan
// of faults from a seed, runs it under load and checks invariants on the history
// that callers, operators and upstreams observe.
package soak

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readyTimeout        = 30 * time.Second       // longest time from the start of the processes until the fleet serves
	pendingTimeout      = 30 * time.Second       // longest wait for outstanding answers and commands; above grace periods and deadlines
	ledgerWriteTime     = 300 * time.Millisecond // time for ledgers to be written
	observationCapacity = 4096                   // observations waiting for the checker
	requestCapacity     = 16                     // requests waiting for a caller
)

// Run runs a plan with processes of a binary in an empty folder, and writes the
// plan, the report and a plot there. It returns an error if the run itself failed;
// violations are in the report.
func Run(ctx context.Context, plan *Plan, folder, binary string) (*Report, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, eris.Wrap(err, "resolve folder")
	}
	fleet, err := newTestFleet(ctx, plan, folder, binary)
	if err == nil {
		err = fleet.start()
	}
	var report *Report
	if err == nil {
		report, err = newPlanRun(ctx, fleet).run(ctx)
	}
	if fleet != nil {
		if stopErr := fleet.stop(); err == nil {
			err = stopErr
		}
	}
	if err != nil {
		return nil, err
	}
	return report, report.write(plan)
}

// write writes the plan, the report and the plot into the folder of the run.
func (r *Report) write(plan *Plan) error {
	for name, value := range map[string]any{"plan.json": plan, "report.json": r} {
		data, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return eris.Wrap(err, "encode report")
		}
		if err := os.WriteFile(filepath.Join(r.Folder, name), data, fileMode); err != nil {
			return eris.Wrap(err, "write report")
		}
	}
	return r.plot(filepath.Join(r.Folder, "plot.svg"))
}
