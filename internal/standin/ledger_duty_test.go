package standin

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an answer that overtakes its lines in the ledger: whoever reads the
// ledger after the answer would find that the request did not run.
func TestAnswerFollowsItsLedgerLines(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	ledger, err := os.OpenFile(path, os.O_RDWR, 0)
	assert.NilError(t, err)
	defer func() { _ = ledger.Close() }()
	assert.NilError(t, ledger.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	filler := make([]byte, 4096)
	for err == nil {
		_, err = ledger.Write(filler)
	}
	ts := startServer(t, func(s *Settings) { s.Ledger = path })
	answered := make(chan int, 1)
	go func() {
		response, _, err := ts.run("id")
		if err != nil {
			answered <- 0
			return
		}
		answered <- response.StatusCode
	}()
	select {
	case <-answered:
		t.Fatal("answered before the ledger could be written")
	case <-time.After(300 * time.Millisecond):
	}
	go func() {
		for {
			if _, err := ledger.Read(filler); err != nil {
				return
			}
		}
	}()
	assert.Equal(t, <-answered, http.StatusOK)
}
