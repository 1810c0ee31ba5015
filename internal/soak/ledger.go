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

// readLedgers replaces the executions and overloads by those in the ledgers of a
// folder. Incomplete lines, such as one being written, are skipped.
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
	started := map[string]int{}
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		var line standin.LedgerLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil {
			h.addLine(&line, started)
		}
	}
	return eris.Wrap(scanner.Err(), "read ledger")
}

// addLine adds one line. started maps each request id to the index of its latest
// execution.
func (h *History) addLine(line *standin.LedgerLine, started map[string]int) {
	switch line.Event {
	case standin.LedgerStarted:
		started[line.RequestID] = len(h.Executions)
		h.Executions = append(h.Executions, Execution{LedgerLine: *line, From: time.Unix(0, line.UnixNanos)})
	case standin.LedgerFinished, standin.LedgerCancelled:
		if i, ok := started[line.RequestID]; ok {
			h.Executions[i].To = time.Unix(0, line.UnixNanos)
		}
	case standin.LedgerOverloaded:
		h.ColdOverloads = append(h.ColdOverloads, *line)
	}
}
