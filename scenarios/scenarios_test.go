// Package scenarios runs the scripts of this folder (*.txtar) on fleets of real
// processes that talk over loopback. Each script command is one cmd function.
package scenarios

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"endivespring/internal/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"endivespring": func() { os.Exit(command.Main()) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   ".",
		Setup: setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet":      cmdFleet,
			"path":       cmdPath,
			"start":      cmdStart,
			"until":      cmdUntil,
			"leader":     cmdLeader,
			"epochs":     cmdEpochs,
			"race":       cmdRace,
			"signal":     cmdSignal,
			"await":      cmdAwait,
			"eventually": cmdEventually,
			"request":    cmdRequest,
			"ledger":     cmdLedger,
			"metrics":    cmdMetrics,
			"peers":      cmdPeers,
			"behave":     cmdBehave,
			"ends":       cmdEnds,
			"exclusive":  cmdExclusive,
			"hangup":     cmdHangUp,
			"recorded":   cmdRecorded,
			"callers":    cmdCallers,
			"answered":   cmdAnswered,
			"control":    cmdControl,
		},
	})
}
