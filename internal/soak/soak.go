// Package soak runs a fleet of real processes, injects faults from outside of
// them and checks from what callers, operators and upstreams see that no
// promise of the product is broken.
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
	readyTimeout        = 30 * time.Second       // longest time from the start of the processes to the first request
	pendingTimeout      = 30 * time.Second       // longest time for the last answers and orders; above grace and deadlines
	ledgerWriteTime     = 300 * time.Millisecond // for ledgers to be written
	observationCapacity = 4096                   // observations waiting for the historian
	requestCapacity     = 16                     // requests waiting for a caller
)

// Play carries out a plan with processes of a binary in an empty folder. It
// returns an error if the run itself failed; broken promises are in the report.
func Play(ctx context.Context, plan *Plan, folder, binary string) (*Report, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, eris.Wrap(err, "folder")
	}
	w, err := newTestFleet(ctx, plan, folder, binary)
	if err == nil {
		err = w.start()
	}
	var report *Report
	if err == nil {
		report, err = newPlanRun(ctx, w).run(ctx)
	}
	if w != nil {
		if stopped := w.stop(); err == nil {
			err = stopped
		}
	}
	if err != nil {
		return nil, err
	}
	return report, report.write(plan)
}

// write puts the plan, the report and the plot beside the logs of the run.
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
