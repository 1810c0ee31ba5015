package scenarios

import (
	"bufio"
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/rogpeppe/go-internal/testscript"

	"endivespring/internal/standin"
)

// execution is one run of a request at an upstream; times are in nanoseconds of the
// machine's clock.
type execution struct {
	upstream, shard, id string
	from, to            int64
}

// cmdExclusive checks that no two runs of one shard overlapped at different
// upstreams: exclusive UPSTREAM...
func cmdExclusive(ts *testscript.TestScript, neg bool, args []string) {
	byShard := map[string][]execution{}
	for _, name := range args {
		for _, s := range readExecutions(ts, name) {
			byShard[s.shard] = append(byShard[s.shard], s)
		}
	}
	for shard, executions := range byShard {
		slices.SortFunc(executions, func(a, b execution) int { return cmp.Compare(a.from, b.from) })
		for i, a := range executions {
			for _, b := range executions[i+1:] {
				if b.from < a.to && b.upstream != a.upstream {
					ts.Fatalf("shard %s: %s at %s and %s at %s overlap by %d ns", shard, a.id, a.upstream, b.id, b.upstream, a.to-b.from)
				}
			}
		}
	}
}

func readExecutions(ts *testscript.TestScript, name string) []execution {
	f, err := os.Open(filepath.Join(ts.MkAbs("."), name+".ledger"))
	ts.Check(err)
	defer func() { _ = f.Close() }()
	started, executions := map[string]execution{}, []execution(nil)
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		var line standin.LedgerLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Shard == "" {
			continue
		}
		switch line.Event {
		case standin.LedgerStarted:
			started[line.RequestID] = execution{upstream: name, shard: line.Shard, id: line.RequestID, from: line.UnixNanos}
		case standin.LedgerFinished, standin.LedgerCancelled:
			s := started[line.RequestID]
			s.to = line.UnixNanos
			executions = append(executions, s)
		}
	}
	return executions
}
