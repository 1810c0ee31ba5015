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

// span is a run at an upstream, from start to end.
type span struct {
	upstream, shard, id string
	from, to            int64
}

// cmdExclusive checks that runs of one shard at different upstreams never
// overlapped: exclusive UPSTREAM...
func cmdExclusive(ts *testscript.TestScript, neg bool, args []string) {
	byShard := map[string][]span{}
	for _, name := range args {
		for _, s := range readSpans(ts, name) {
			byShard[s.shard] = append(byShard[s.shard], s)
		}
	}
	for shard, spans := range byShard {
		slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.from, b.from) })
		for i, a := range spans {
			for _, b := range spans[i+1:] {
				if b.from < a.to && b.upstream != a.upstream {
					ts.Fatalf("shard %s: %s at %s and %s at %s overlap by %d ns", shard, a.id, a.upstream, b.id, b.upstream, a.to-b.from)
				}
			}
		}
	}
}

func readSpans(ts *testscript.TestScript, name string) []span {
	f, err := os.Open(filepath.Join(ts.MkAbs("."), name+".ledger"))
	ts.Check(err)
	defer func() { _ = f.Close() }()
	open, spans := map[string]span{}, []span(nil)
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		var line standin.LedgerLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Shard == "" {
			continue
		}
		switch line.Event {
		case standin.LedgerStarted:
			open[line.RequestID] = span{upstream: name, shard: line.Shard, id: line.RequestID, from: line.At}
		case standin.LedgerFinished, standin.LedgerCancelled:
			s := open[line.RequestID]
			s.to = line.At
			spans = append(spans, s)
		}
	}
	return spans
}
