package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/upstream"
)

// testServer is a stand-in that runs in the process of the test.
type testServer struct {
	t      *testing.T
	server *Server
	base   string
	ledger string
}

func startServer(t *testing.T, change func(*Settings)) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	s := Settings{
		Name: "u", Service: "s", Address: address, Announce: "127.0.0.1:1", Slots: 4, ColdSlots: 4, Connections: 8, ChecksGrants: true,
		WarmCompletions: 1, Ledger: filepath.Join(t.TempDir(), "ledger"), AnnounceEvery: time.Hour,
	}
	change(&s)
	server, err := Start(context.Background(), s)
	assert.NilError(t, err)
	ts := &testServer{t: t, server: server, base: "http://" + address, ledger: s.Ledger}
	t.Cleanup(ts.stop)
	return ts
}

func (ts *testServer) stop() {
	ts.server.group.Stop()
	assert.NilError(ts.t, ts.server.Wait())
}

// post sends one request on a new connection.
func (ts *testServer) post(path, body string, headers ...string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, ts.base+path, strings.NewReader(body))
	assert.NilError(ts.t, err)
	request.Header.Set(upstream.HeaderDeadline, "10000")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	_, err = bufio.NewReader(response.Body).WriteTo(&text)
	return response, text.String(), err
}

func (ts *testServer) changeBehaviour(body string) {
	response, text, err := ts.post("/behaviour", body)
	assert.NilError(ts.t, err)
	assert.Equal(ts.t, response.StatusCode, http.StatusNoContent, text)
}

func (ts *testServer) run(id string, headers ...string) (*http.Response, string, error) {
	return ts.post("/run/reserve", id, append(headers, upstream.HeaderRequestID, id)...)
}

// awaitEvent waits until the ledger has an event of a request and returns its line.
func (ts *testServer) awaitEvent(id string, event LedgerEvent) LedgerLine {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		data, err := os.ReadFile(ts.ledger)
		assert.NilError(ts.t, err)
		for _, text := range strings.Split(string(data), "\n") {
			var line LedgerLine
			if json.Unmarshal([]byte(text), &line) == nil && line.RequestID == id && line.Event == event {
				return line
			}
		}
	}
	ts.t.Fatalf("no event %s of %s", event, id)
	return LedgerLine{}
}

func TestAnswerFaults(t *testing.T) {
	ts := startServer(t, func(*Settings) {})
	_, body, err := ts.run("first")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(body, `"requestId":"first"`))
	for fault, check := range map[Fault]func(response *http.Response, body string, err error) bool{
		FaultMismatched: func(response *http.Response, body string, err error) bool {
			return err == nil && response.Header.Get(upstream.HeaderRequestID) != "crossed" && !strings.Contains(body, `"crossed"`)
		},
		FaultTruncated:     func(_ *http.Response, _ string, err error) bool { return err != nil },
		FaultTruncatedHead: func(_ *http.Response, _ string, err error) bool { return err != nil },
		FaultReset:         func(_ *http.Response, _ string, err error) bool { return err != nil },
		FaultDuplicated:    func(_ *http.Response, body string, err error) bool { return err == nil },
		FaultLate:          func(_ *http.Response, body string, err error) bool { return err == nil },
	} {
		ts.changeBehaviour(`{"fault":"` + string(fault) + `","faultEvery":1,"lateMs":1}`)
		response, body, err := ts.run(string(fault))
		assert.Assert(t, check(response, body, err), "%s: %v %s", fault, err, body)
		ts.awaitEvent(string(fault), LedgerFinished)
	}
	response, text, err := ts.post("/behaviour", `{"fault":"unheard-of"}`)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest, text)
}

func TestColdOverloadIsRecorded(t *testing.T) {
	ts := startServer(t, func(s *Settings) { s.ColdSlots, s.Latency = 1, time.Hour })
	go func() { _, _, _ = ts.run("held") }()
	ts.awaitEvent("held", LedgerStarted)
	_, _, err := ts.run("over")
	assert.Assert(t, err != nil)
	assert.Equal(t, ts.awaitEvent("over", LedgerOverloaded).InFlight, 1)

	_, _, err = ts.post("/cancel", "", upstream.HeaderRequestID, "held")
	assert.NilError(t, err)
	ts.awaitEvent("held", LedgerCancelled)
	response, _, err := ts.run("brief", upstream.HeaderDeadline, "20")
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(upstream.HeaderRan), upstream.RanUnknown)
}

func TestWarmUpAndColdReset(t *testing.T) {
	ts := startServer(t, func(s *Settings) { s.ColdSlots = 1 })
	for _, id := range []string{"a", "b", "c"} {
		_, _, err := ts.run(id)
		assert.NilError(t, err)
	}
	assert.Equal(t, ts.awaitEvent("c", LedgerStarted).Capacity, 3)
	ts.changeBehaviour(`{"cold":true}`)
	_, _, err := ts.run("d")
	assert.NilError(t, err)
	assert.Equal(t, ts.awaitEvent("d", LedgerStarted).Capacity, 1)
}

func TestRefusalsReportNotRun(t *testing.T) {
	ts := startServer(t, func(*Settings) {})
	grant := func(epoch int, until time.Time) []string {
		return []string{upstream.HeaderShard, "7", upstream.HeaderEpoch, strconv.Itoa(epoch), upstream.HeaderGrantEnd, strconv.FormatInt(until.UnixNano(), 10)}
	}
	future := time.Now().Add(time.Hour)
	for _, c := range []struct {
		id      string
		headers []string
		status  int
	}{
		{"current", grant(3, future), http.StatusOK},
		{"stale", grant(2, future), http.StatusPreconditionFailed},
		{"expired", grant(3, time.Now().Add(-time.Second)), http.StatusPreconditionFailed},
		{"late", []string{upstream.HeaderDeadline, "-1"}, http.StatusServiceUnavailable},
	} {
		response, _, err := ts.run(c.id, c.headers...)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, c.status, c.id)
		assert.Equal(t, response.Header.Get(upstream.HeaderRan) == upstream.RanNo, c.status != http.StatusOK, c.id)
	}
	ts.changeBehaviour(`{"shedEvery":1}`)
	response, _, err := ts.run("shed")
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(upstream.HeaderRan), upstream.RanNo)
}

// TestSilenceAffectsOpenConnectionsOnly guards against a silence that spares open
// connections or extends to new ones.
func TestSilenceAffectsOpenConnectionsOnly(t *testing.T) {
	ts := startServer(t, func(*Settings) {})
	request := "POST /run/reserve HTTP/1.1\r\nHost: u\r\nContent-Length: 0\r\n" + upstream.HeaderDeadline + ": 10000\r\n" + upstream.HeaderRequestID + ": old\r\n\r\n"
	old, err := net.Dial("tcp", strings.TrimPrefix(ts.base, "http://"))
	assert.NilError(t, err)
	defer func() { _ = old.Close() }()
	reader := bufio.NewReader(old)
	_, err = old.Write([]byte(request))
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = reader.Discard(int(response.ContentLength))
	assert.NilError(t, err)

	ts.changeBehaviour(`{"silenceOpen":true}`)
	_, err = old.Write([]byte(request))
	assert.NilError(t, err)
	_, _, err = ts.run("new")
	assert.NilError(t, err)
	assert.NilError(t, old.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
