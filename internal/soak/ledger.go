package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/standin"
)

// readLedgers reads what the upstreams of a folder have run so far. A last line
// that is not whole yet is left out.
func (h *History) readLedgers(folder string) error {
	files, err := filepath.Glob(filepath.Join(folder, "*"+standin.LedgerSuffix))
	if err != nil {
		return eris.Wrap(err, "find ledgers")
	}
	h.Executions, h.ColdOverloads = nil, nil
	for _, file := range files {
		if err := h.readLedger(file); err != nil {
			return err
		}
	}
	return nil
}

func (h *History) readLedger(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open ledger")
	}
	defer func() { _ = f.Close() }()
	open := map[string]int{}
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		var line standin.LedgerLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil {
			h.addLine(&line, open)
		}
	}
	return eris.Wrap(scanner.Err(), "read ledger")
}

// addLine takes one line; open holds the places of runs under way.
func (h *History) addLine(line *standin.LedgerLine, open map[string]int) {
	switch line.Event {
	case standin.LedgerStarted:
		open[line.RequestID] = len(h.Executions)
		h.Executions = append(h.Executions, Execution{LedgerLine: *line, From: time.Unix(0, line.At)})
	case standin.LedgerFinished, standin.LedgerCancelled:
		if i, ok := open[line.RequestID]; ok {
			h.Executions[i].To = time.Unix(0, line.At)
		}
	case standin.LedgerOverloaded:
		h.ColdOverloads = append(h.ColdOverloads, *line)
	}
}
