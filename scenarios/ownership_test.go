package scenarios

import (
	"bufio"
	"cmp"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"endivespring/internal/controller"
	"endivespring/internal/standin"
)

// cmdUntil sends requests with the IDs PREFIX-1, PREFIX-2 and so on until an
// answer matches: until PATTERN PREFIX UPSTREAM SERVICE/OPERATION [name=value...]
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: until PATTERN PREFIX UPSTREAM SERVICE/OPERATION [name=value...]")
	}
	pattern, err := regexp.Compile("(?s)" + args[0])
	ts.Check(err)
	var answer []byte
	end := time.Now().Add(eventuallyLimit)
	for n := 1; time.Now().Before(end); n++ {
		send(ts, append(args[2:], "id="+args[1]+"-"+strconv.Itoa(n)))
		answer, err = os.ReadFile(ts.MkAbs("answer"))
		ts.Check(err)
		if pattern.Match(answer) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("no answer matched %s in time, last:\n%s", args[0], answer)
}

// cmdLeader sets the variable leader to the name of the leader among three control
// processes, and the variables first and second to the others' names: leader
func cmdLeader(ts *testscript.TestScript, neg bool, args []string) {
	binary, err := exec.LookPath("endivespring")
	ts.Check(err)
	for end := time.Now().Add(eventuallyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		cmd := exec.Command(binary, "status", "--output", "json")
		cmd.Dir = ts.MkAbs(".")
		out, err := cmd.Output()
		var status controller.Status
		if err != nil || json.Unmarshal(out, &status) != nil || !status.IsLeader {
			continue
		}
		names := []string{"control-1", "control-2", "control-3"}
		others := slices.DeleteFunc(names, func(name string) bool { return name == status.Leader })
		ts.Setenv("leader", status.Leader)
		ts.Setenv("first", others[0])
		ts.Setenv("second", others[1])
		return
	}
	ts.Fatalf("no leader was elected in time")
}

// cmdEpochs checks all ledgers for the effect of epochs: no run of a shard starts
// under an older epoch than an earlier run, and all runs under one epoch are at one
// upstream: epochs MIN-RUNS
// At least MIN-RUNS runs must have an epoch. All stand-ins share the machine's clock,
// so their start times can be compared.
func cmdEpochs(ts *testscript.TestScript, neg bool, args []string) {
	minRuns, err := strconv.Atoi(args[0])
	ts.Check(err)
	lines := startedUnderEpoch(ts)
	type grant struct {
		shard string
		epoch uint64
	}
	newest, upstreams := map[string]standin.LedgerLine{}, map[grant]string{}
	for _, line := range lines {
		last := newest[line.Shard]
		if line.Epoch < last.Epoch {
			ts.Fatalf("%s runs %s under epoch %d %v after %s under epoch %d",
				line.Upstream, line.Shard, line.Epoch, time.Duration(line.UnixNanos-last.UnixNanos), last.Upstream, last.Epoch)
		}
		newest[line.Shard] = line
		g := grant{line.Shard, line.Epoch}
		if other := upstreams[g]; other != "" && other != line.Upstream {
			ts.Fatalf("%s and %s run %s under epoch %d", other, line.Upstream, line.Shard, line.Epoch)
		}
		upstreams[g] = line.Upstream
	}
	if len(lines) < minRuns {
		ts.Fatalf("only %d runs have an epoch", len(lines))
	}
	ts.Logf("%d runs under %d grants", len(lines), len(upstreams))
}

// startedUnderEpoch returns the started events that have an epoch, in order of time.
func startedUnderEpoch(ts *testscript.TestScript) []standin.LedgerLine {
	files, err := filepath.Glob(ts.MkAbs("*.ledger"))
	ts.Check(err)
	var lines []standin.LedgerLine
	for _, file := range files {
		f, err := os.Open(file)
		ts.Check(err)
		for scanner := bufio.NewScanner(f); scanner.Scan(); {
			var line standin.LedgerLine
			if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Event == standin.LedgerStarted && line.Epoch > 0 {
				lines = append(lines, line)
			}
		}
		ts.Check(f.Close())
	}
	slices.SortStableFunc(lines, func(a, b standin.LedgerLine) int { return cmp.Compare(a.UnixNanos, b.UnixNanos) })
	return lines
}

// cmdRace runs several endivespring commands concurrently, ignores their exit codes
// and writes their outputs to the files race-1, race-2 and so on: race ARGS...
// Each of ARGS holds the arguments of one command.
func cmdRace(ts *testscript.TestScript, neg bool, args []string) {
	binary, err := exec.LookPath("endivespring")
	ts.Check(err)
	var running []*exec.Cmd
	for i, line := range args {
		out, err := os.Create(ts.MkAbs("race-" + strconv.Itoa(i+1)))
		ts.Check(err)
		cmd := exec.Command(binary, strings.Fields(line)...)
		cmd.Dir, cmd.Stdout, cmd.Stderr = ts.MkAbs("."), out, out
		ts.Check(cmd.Start())
		ts.Check(out.Close())
		running = append(running, cmd)
	}
	for _, cmd := range running {
		_ = cmd.Wait()
	}
}
