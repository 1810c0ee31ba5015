package scenarios

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"endivespring/internal/standin"
)

const eventuallyLimit = 30 * time.Second // longest wait for a condition

// cmdEventually repeats a program until it succeeds and its output matches:
// eventually PATTERN PROGRAM ARG...
// With ! it waits until the output does not match.
func cmdEventually(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: eventually PATTERN COMMAND...")
	}
	pattern, err := regexp.Compile("(?s)" + args[0])
	ts.Check(err)
	binary, err := exec.LookPath(args[1])
	ts.Check(err)
	var out []byte
	for end := time.Now().Add(eventuallyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		cmd := exec.Command(binary, args[2:]...)
		cmd.Dir = ts.MkAbs(".")
		out, err = cmd.CombinedOutput()
		if err == nil && pattern.Match(out) != neg {
			return
		}
	}
	ts.Fatalf("output of %v did not match %s in time (negated: %v), last:\n%s", args[1:], args[0], neg, out)
}

// cmdRequest sends a request: request UPSTREAM SERVICE/OPERATION [name=value...]
// It goes to the router beside UPSTREAM. Names are key, id, attempt, timeout (in ms)
// and body. Status, headers and body of the answer go to the file "answer". The
// verdict must be ran, or with ! must not be.
func cmdRequest(ts *testscript.TestScript, neg bool, args []string) {
	if ran, answer := send(ts, args); ran == neg {
		ts.Fatalf("unexpected answer:\n%s", answer)
	}
}

// send sends a request as cmdRequest describes and reports whether it ran.
func send(ts *testscript.TestScript, args []string) (ran bool, answer string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod("POST")
	request.SetRequestURI("http://" + ts.Getenv("caller_"+args[0]) + "/v1/" + args[1])
	headers := map[string]string{"key": "Endivespring-Key", "id": "Endivespring-Request-Id", "attempt": "Endivespring-Attempt", "timeout": "Endivespring-Timeout-Ms"}
	for _, arg := range args[2:] {
		name, value, _ := strings.Cut(arg, "=")
		if name == "body" {
			request.SetBodyString(value)
			continue
		}
		request.Header.Set(headers[name], value)
	}
	err := fasthttp.DoTimeout(request, response, 15*time.Second)
	answer = response.String()
	if err != nil {
		answer = err.Error()
	}
	ts.Check(os.WriteFile(ts.MkAbs("answer"), []byte(answer), 0o640))
	return string(response.Header.Peek("Endivespring-Verdict")) == "ran", answer
}

// cmdLedger checks the runs that all stand-ins have recorded:
// ledger once PREFIX: each request ID with the prefix ran at most once;
// ledger count ID N: the request ran N times.
func cmdLedger(ts *testscript.TestScript, neg bool, args []string) {
	runs := readLedgers(ts)
	switch args[0] {
	case "once":
		for id, n := range runs {
			if strings.HasPrefix(id, args[1]) && n > 1 {
				ts.Fatalf("request %s ran %d times", id, n)
			}
		}
	case "count":
		want, err := strconv.Atoi(args[2])
		ts.Check(err)
		if (runs[args[1]] == want) == neg {
			ts.Fatalf("request %s ran %d times", args[1], runs[args[1]])
		}
	}
}

// readLedgers returns the number of runs started by request ID.
func readLedgers(ts *testscript.TestScript) map[string]int {
	files, err := filepath.Glob(ts.MkAbs("*.ledger"))
	ts.Check(err)
	runs := map[string]int{}
	for _, file := range files {
		f, err := os.Open(file)
		ts.Check(err)
		for scanner := bufio.NewScanner(f); scanner.Scan(); {
			var line standin.LedgerLine
			if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Event == standin.LedgerStarted {
				runs[line.RequestID]++
			}
		}
		ts.Check(f.Close())
	}
	return runs
}
