package operator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/ring"
)

const testToken = "test-token"

// process is a control process with a scripted controller duty. It records the
// IDs of the commands that it received.
type process struct {
	address  string
	commands atomic.Pointer[[]string]
}

// serveApp serves an application on loopback until the test ends.
func serveApp(t *testing.T, app *fiber.App) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = app.Listener(listener) }()
	t.Cleanup(func() { _ = app.Shutdown() })
	return listener.Addr().String()
}

// startProcess runs the real server; the given function stands in for the
// controller duty.
func startProcess(t *testing.T, reply func(Request) Reply) *process {
	t.Helper()
	requests := ring.New[Request]("operators", 8, ring.Refuse)
	p := &process{address: serveApp(t, NewServer(testToken, requests).App())}
	p.commands.Store(&[]string{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for {
			request, err := requests.Take(ctx)
			if err != nil {
				return
			}
			if request.Change != nil {
				seen := append(*p.commands.Load(), request.Change.CommandID)
				p.commands.Store(&seen)
			}
			request.Reply.Send(reply(request))
		}
	}()
	return p
}

func leaderReply(r Request) Reply {
	if r.Change != nil {
		return Reply{Result: fsm.Result{Accepted: true, Config: 4}}
	}
	return Reply{Status: &controller.Status{IsLeader: true, ConfigVersion: 3}, Explanation: &controller.Explanation{Shard: "s/1"}, Preset: &fleet.Preset{Name: "peak", Version: 3, Services: []fleet.Service{{Name: "s", RecordWindow: time.Minute}}}}
}

func followerReply(r Request) Reply {
	if r.Status {
		return Reply{Status: &controller.Status{}}
	}
	return Reply{Redirect: true}
}

func deposedReply(Request) Reply { return Reply{OutcomeUnknown: true} }

// fixedServer returns the address of a server that gives one answer to every
// request.
func fixedServer(t *testing.T, code int, body string) string {
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Use(func(c *fiber.Ctx) error { return c.Status(code).SendString(body) })
	return serveApp(t, app)
}

// disconnectingServer returns the address of a server that reads a request,
// sends a text and closes the connection: with a reset if text was sent, else
// normally.
func disconnectingServer(t *testing.T, text string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = connection.Read(make([]byte, 4096))
			_, _ = connection.Write([]byte(text))
			if text != "" {
				_ = connection.(*net.TCPConn).SetLinger(0)
			}
			_ = connection.Close()
		}
	}()
	return listener.Addr().String()
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

// States which error the sender of a command gets. A command that may have been
// accepted must never be reported as refused or as not sent.
func TestChangeOutcomes(t *testing.T) {
	leader, follower := startProcess(t, leaderReply), startProcess(t, followerReply)
	deposed := startProcess(t, deposedReply)
	gone, lost := closedAddress(t), disconnectingServer(t, "")
	for name, test := range map[string]struct {
		token     string
		addresses []string
		want      error
	}{
		"leader":                      {testToken, []string{leader.address}, nil},
		"leader after others":         {testToken, []string{gone, follower.address, leader.address}, nil},
		"lost answer, then leader":    {testToken, []string{lost, leader.address}, nil},
		"deposed leader, then leader": {testToken, []string{deposed.address, leader.address}, nil},
		"wrong token":                 {"guess", []string{leader.address}, ErrRefused},
		"connection refused":          {testToken, []string{gone}, ErrUnreachable},
		"no leader":                   {testToken, []string{gone, follower.address}, ErrNoLeader},
		"overloaded":                  {testToken, []string{fixedServer(t, 503, "{}")}, ErrNoLeader},
		"answer lost":                 {testToken, []string{lost, follower.address, gone}, ErrOutcomeUnknown},
		"truncated answer":            {testToken, []string{disconnectingServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")}, ErrOutcomeUnknown},
		"leadership lost":             {testToken, []string{deposed.address, follower.address}, ErrOutcomeUnknown},
		"answer lost, then refused":   {testToken, []string{lost, fixedServer(t, 401, "{}")}, ErrOutcomeUnknown},
		"malformed answer":            {testToken, []string{fixedServer(t, 200, "<html>")}, ErrOutcomeUnknown},
		"server error":                {testToken, []string{fixedServer(t, 500, "{}")}, ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient(test.addresses, test.token, 0)
			_, err := client.Change(&ChangeBody{CommandID: "c-" + name, Operator: "o", DataCentre: "d", Out: true})
			assert.Assert(t, eris.Is(err, test.want) && (err == nil) == (test.want == nil), "got %v", err)
			if err != nil {
				assert.Assert(t, !strings.Contains(err.Error(), testToken), "token in %v", err)
			}
		})
	}
	commands := *leader.commands.Load()
	assert.Equal(t, len(commands), 4)
}

// A process becomes leader only after the first rounds; the client must send
// the same command until then.
func TestChangeIsRetriedUntilALeaderAccepts(t *testing.T) {
	var asked atomic.Int64
	p := startProcess(t, func(r Request) Reply {
		if r.Change == nil || asked.Add(1) < 3 {
			return followerReply(r)
		}
		return leaderReply(r)
	})
	client := NewClient([]string{p.address}, testToken, 20*time.Second)
	result, err := client.Change(&ChangeBody{CommandID: "c", Upstream: "u"})
	assert.NilError(t, err)
	assert.Equal(t, result.Config, uint64(4))
	assert.DeepEqual(t, *p.commands.Load(), []string{"c", "c", "c"})
}

func TestReads(t *testing.T) {
	leader, follower := startProcess(t, leaderReply), startProcess(t, followerReply)
	client := NewClient([]string{follower.address, leader.address}, testToken, 0)
	status, err := client.Status()
	assert.NilError(t, err)
	assert.Equal(t, status.ConfigVersion, fleet.Version(3))
	gone := closedAddress(t)
	var states []string
	for _, p := range NewClient([]string{leader.address, follower.address, gone, fixedServer(t, 401, "{}")}, testToken, 0).Processes() {
		states = append(states, p.State)
	}
	assert.DeepEqual(t, states, []string{"leads", "no-leader", "unreachable", "refused"})
	explanation, err := client.Explain("s", "k & k")
	assert.NilError(t, err)
	assert.Equal(t, explanation.Shard, "s/1")
	body, err := client.Preset()
	assert.NilError(t, err)
	assert.Equal(t, body.Preset.Name, "peak")
	assert.Equal(t, body.Preset.Services[0].RecordWindow.Value(), time.Minute)
	_, err = NewClient([]string{follower.address}, testToken, 0).Status()
	assert.Assert(t, eris.Is(err, ErrNoLeader))
	_, err = NewClient([]string{disconnectingServer(t, ""), follower.address}, testToken, 0).Status()
	assert.Assert(t, eris.Is(err, ErrNoAnswer) && !eris.Is(err, ErrOutcomeUnknown), "got %v", err)
}

// Requests without the token or without a valid command must not reach the
// controller duty.
func TestServerRejectsInvalidRequests(t *testing.T) {
	requests := ring.New[Request]("operators", 1, ring.Refuse)
	app := NewServer(testToken, requests).App()
	valid := `{"commandId":"c","operator":"o","upstream":"u"}`
	for _, test := range []struct {
		token, path, body string
		code              int
		want              string
	}{
		{"Bearer " + testToken, "/v1/changes", "", 400, "EOF"},
		{"Bearer " + testToken, "/v1/changes", `{"commandId":"c"}`, 400, "needs a command id and one of"},
		{"Bearer " + testToken, "/v1/changes", `{"upstream":"u"}`, 400, "needs a command id and one of"},
		{"Bearer " + testToken, "/v1/changes", `{"commandId":"c","upstream":"u","dataCentre":"d"}`, 400, "needs a command id and one of"},
		{"Bearer " + testToken, "/v1/changes", `{"commandId":"c","upstream":"u","outt":true}`, 400, "unknown field"},
		{"Bearer " + testToken, "/v1/changes", `{"commandId":"c","preset":{"name":"p","services":[]}}`, 400, "services = 0: needs at least 1 items"},
		{"Bearer " + testToken, "/v1/changes", `{"commandId":"c","expectedConfigVersion":-1,"upstream":"u"}`, 400, "expectedConfigVersion"},
		{"Bearer " + testToken, "/v1/nothing", valid, 404, "Cannot POST"},
		{"Bearer wrong", "/v1/changes", valid, 401, "token is missing or wrong"},
		{testToken, "/v1/changes", valid, 401, "token is missing or wrong"},
		{"", "/v1/status", valid, 401, "token is missing or wrong"},
	} {
		request := httptest.NewRequest("POST", test.path, strings.NewReader(test.body))
		request.Header.Set("Authorization", test.token)
		response, err := app.Test(request)
		assert.NilError(t, err)
		data, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		var body ErrorBody
		assert.NilError(t, json.Unmarshal(data, &body), "body %s", data)
		assert.Equal(t, response.StatusCode, test.code, "%s", data)
		assert.Assert(t, strings.Contains(body.Error, test.want), "%s", data)
		assert.Equal(t, requests.Depth(), 0)
	}
}

// No input may make decoding a command panic, and every accepted command asks
// for exactly one change.
func FuzzChange(f *testing.F) {
	for _, body := range []string{`{"commandId":"c","upstream":"u","out":true}`, `{"commandId":"c","preset":{"name":"p"}}`, `{"preset":null}`, `[]`} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var body ChangeBody
		if json.Unmarshal(data, &body) != nil {
			return
		}
		change, err := body.change()
		if err != nil {
			return
		}
		parts := 0
		for _, set := range []bool{change.Preset != nil, change.DataCentre != nil, change.Upstream != nil} {
			if set {
				parts++
			}
		}
		assert.Equal(t, parts, 1)
		assert.Assert(t, change.CommandID != "")
	})
}
