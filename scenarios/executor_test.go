package scenarios

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"endivespring/internal/standin"
)

// cmdBehave sets the behaviour of stand-ins: behave JSON NAME...
func cmdBehave(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: behave JSON NAME...")
	}
	for _, name := range args[1:] {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.Header.SetMethod("POST")
		request.SetRequestURI("http://" + standinAddress(ts, name) + "/behaviour")
		request.SetBodyString(args[0])
		ts.Check(fasthttp.DoTimeout(request, response, eventuallyLimit))
		if response.StatusCode() != fasthttp.StatusNoContent {
			ts.Fatalf("%s: %s", name, response.Body())
		}
	}
}

func standinAddress(ts *testscript.TestScript, name string) string {
	fields := strings.Fields(ts.Getenv("args_" + name))
	for i, field := range fields {
		if field == "--address" {
			return fields[i+1]
		}
	}
	ts.Fatalf("no upstream named %s", name)
	return ""
}

// cmdEnds fails unless a process exits with code 0 within a time limit:
// ends LIMIT NAME
func cmdEnds(ts *testscript.TestScript, neg bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	p := fleetOf(ts).processes[args[1]]
	select {
	case <-p.done:
		ts.Check(p.err)
	case <-time.After(limit):
		ts.Fatalf("%s did not end within %v", args[1], limit)
	}
}

// cmdHangUp sends a request to the router beside UPSTREAM, waits until the run has
// started and closes the connection: hangup UPSTREAM SERVICE/OPERATION ID
// The ID is the key too.
func cmdHangUp(ts *testscript.TestScript, neg bool, args []string) {
	connection, err := net.Dial("tcp", ts.Getenv("caller_"+args[0]))
	ts.Check(err)
	_, err = fmt.Fprintf(connection, "POST /v1/%s HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\nEndivespring-Key: %s\r\nEndivespring-Request-Id: %s\r\n\r\n", args[1], args[2], args[2])
	ts.Check(err)
	awaitEvent(ts, args[2], standin.LedgerStarted)
	ts.Check(connection.Close())
}

// cmdRecorded waits until a stand-in has recorded an event of a request:
// recorded ID EVENT
func cmdRecorded(ts *testscript.TestScript, neg bool, args []string) {
	awaitEvent(ts, args[0], standin.LedgerEvent(args[1]))
}

func awaitEvent(ts *testscript.TestScript, id string, event standin.LedgerEvent) {
	for end := time.Now().Add(eventuallyLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		files, err := filepath.Glob(ts.MkAbs("*.ledger"))
		ts.Check(err)
		for _, file := range files {
			data, err := os.ReadFile(file)
			ts.Check(err)
			if strings.Contains(string(data), fmt.Sprintf(`{"event":%q,"requestId":%q,`, event, id)) {
				return
			}
		}
	}
	ts.Fatalf("event %s of request %s is in no ledger", event, id)
}
