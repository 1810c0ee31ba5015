package scenarios

import (
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
)

// cmdBehave changes how stand-ins behave: behave JSON NAME...
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
	ts.Fatalf("no upstream %s", name)
	return ""
}

// cmdEnds waits a limited time for a process to end with exit code 0:
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
