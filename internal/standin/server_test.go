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

// bench is a stand-in in the test's process.
type bench struct {
	t      *testing.T
	server *Server
	base   string
	ledger string
}

func start(t *testing.T, change func(*Settings)) *bench {
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
	b := &bench{t: t, server: server, base: "http://" + address, ledger: s.Ledger}
	t.Cleanup(b.stop)
	return b
}

func (b *bench) stop() {
	b.server.group.Stop()
	assert.NilError(b.t, b.server.Wait())
}

// post sends one request on a connection of its own.
func (b *bench) post(path, body string, headers ...string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, b.base+path, strings.NewReader(body))
	assert.NilError(b.t, err)
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

func (b *bench) change(body string) {
	response, text, err := b.post("/behaviour", body)
	assert.NilError(b.t, err)
	assert.Equal(b.t, response.StatusCode, http.StatusNoContent, text)
}

func (b *bench) run(id string, headers ...string) (*http.Response, string, error) {
	return b.post("/run/reserve", id, append(headers, upstream.HeaderRequestID, id)...)
}

// lines waits until the ledger has an event of a request.
func (b *bench) await(id string, event LedgerEvent) LedgerLine {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		data, err := os.ReadFile(b.ledger)
		assert.NilError(b.t, err)
		for _, text := range strings.Split(string(data), "\n") {
			var line LedgerLine
			if json.Unmarshal([]byte(text), &line) == nil && line.RequestID == id && line.Event == event {
				return line
			}
		}
	}
	b.t.Fatalf("no event %s of %s", event, id)
	return LedgerLine{}
}

func TestSpoiledAnswers(t *testing.T) {
	b := start(t, func(*Settings) {})
	_, body, err := b.run("first")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(body, `"requestId":"first"`))
	for fault, check := range map[Fault]func(response *http.Response, body string, err error) bool{
		FaultCrossed: func(response *http.Response, body string, err error) bool {
			return err == nil && response.Header.Get(upstream.HeaderRequestID) != "crossed" && !strings.Contains(body, `"crossed"`)
		},
		FaultTruncated:  func(_ *http.Response, _ string, err error) bool { return err != nil },
		FaultReset:      func(_ *http.Response, _ string, err error) bool { return err != nil },
		FaultDuplicated: func(_ *http.Response, body string, err error) bool { return err == nil },
		FaultLate:       func(_ *http.Response, body string, err error) bool { return err == nil },
	} {
		b.change(`{"fault":"` + string(fault) + `","faultEvery":1,"lateMs":1}`)
		response, body, err := b.run(string(fault))
		assert.Assert(t, check(response, body, err), "%s: %v %s", fault, err, body)
		b.await(string(fault), LedgerFinished)
	}
	response, text, err := b.post("/behaviour", `{"fault":"unheard-of"}`)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest, text)
}

func TestColdOverloadIsRecorded(t *testing.T) {
	b := start(t, func(s *Settings) { s.ColdSlots, s.Latency = 1, time.Hour })
	go func() { _, _, _ = b.run("held") }()
	b.await("held", LedgerStarted)
	_, _, err := b.run("over")
	assert.Assert(t, err != nil)
	assert.Equal(t, b.await("over", LedgerOverloaded).Running, 1)

	_, _, err = b.post("/cancel", "", upstream.HeaderRequestID, "held")
	assert.NilError(t, err)
	b.await("held", LedgerCancelled)
	response, _, err := b.run("brief", upstream.HeaderDeadline, "20")
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(upstream.HeaderRan), upstream.RanUnknown)
}

func TestWarmsAndTurnsCold(t *testing.T) {
	b := start(t, func(s *Settings) { s.ColdSlots = 1 })
	for _, id := range []string{"a", "b", "c"} {
		_, _, err := b.run(id)
		assert.NilError(t, err)
	}
	assert.Equal(t, b.await("c", LedgerStarted).Bears, 3)
	b.change(`{"cold":true}`)
	_, _, err := b.run("d")
	assert.NilError(t, err)
	assert.Equal(t, b.await("d", LedgerStarted).Bears, 1)
}

func TestRefusalsSayNotRun(t *testing.T) {
	b := start(t, func(*Settings) {})
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
		response, _, err := b.run(c.id, c.headers...)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, c.status, c.id)
		assert.Equal(t, response.Header.Get(upstream.HeaderRan) == upstream.RanNo, c.status != http.StatusOK, c.id)
	}
	b.change(`{"shedEvery":1}`)
	response, _, err := b.run("shed")
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(upstream.HeaderRan), upstream.RanNo)
}

// TestSilentConnections checks that only connections opened before stay mute.
func TestSilentConnections(t *testing.T) {
	b := start(t, func(*Settings) {})
	request := "POST /run/reserve HTTP/1.1\r\nHost: u\r\nContent-Length: 0\r\n" + upstream.HeaderDeadline + ": 10000\r\n" + upstream.HeaderRequestID + ": old\r\n\r\n"
	old, err := net.Dial("tcp", strings.TrimPrefix(b.base, "http://"))
	assert.NilError(t, err)
	defer func() { _ = old.Close() }()
	reader := bufio.NewReader(old)
	_, err = old.Write([]byte(request))
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = reader.Discard(int(response.ContentLength))
	assert.NilError(t, err)

	b.change(`{"silenceOpen":true}`)
	_, err = old.Write([]byte(request))
	assert.NilError(t, err)
	_, _, err = b.run("new")
	assert.NilError(t, err)
	assert.NilError(t, old.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
