package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"endivespring/internal/httphead"
	"endivespring/internal/standin"
)

const (
	maxSends       = 6 // per request, the first one included
	resendInterval = 100 * time.Millisecond
	requestTimeout = 3 * time.Second // of one send
)

// callerGroup sends requests at a fixed rate. Until a request's verdict is ran, it
// is resent to the next router, with a higher attempt number if it may have run.
type callerGroup struct {
	name, path string
	callers    []string
	rate       int
	duration   time.Duration
	client     *fasthttp.Client
	done       chan struct{}

	mu      sync.Mutex
	results map[string]*callerResult
}

// callerResult records the verdicts that the caller of one request received.
type callerResult struct {
	verdict, reason string
	history         []string
	mismatched      bool
	sends           int
}

var callerGroups sync.Map // callerGroupKey to *callerGroup

type callerGroupKey struct {
	fleet *fleet
	name  string
}

// cmdCallers starts callers in the background:
// callers NAME DURATION RATE SERVICE/OPERATION UPSTREAM[,UPSTREAM...]
func cmdCallers(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 5 {
		ts.Fatalf("usage: callers NAME DURATION RATE SERVICE/OPERATION UPSTREAM,...")
	}
	c := &callerGroup{name: args[0], path: args[3], done: make(chan struct{}), results: map[string]*callerResult{}}
	var err error
	c.duration, err = time.ParseDuration(args[1])
	ts.Check(err)
	c.rate, err = strconv.Atoi(args[2])
	ts.Check(err)
	for _, name := range strings.Split(args[4], ",") {
		c.callers = append(c.callers, ts.Getenv("caller_"+name))
	}
	c.client = &fasthttp.Client{Transport: httphead.Transport{}, MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	callerGroups.Store(callerGroupKey{fleetOf(ts), c.name}, c)
	go c.run()
}

func (c *callerGroup) run() {
	defer close(c.done)
	var group sync.WaitGroup
	for i := range int(float64(c.rate) * c.duration.Seconds()) {
		group.Add(1)
		go func() {
			defer group.Done()
			c.call(i)
		}()
		time.Sleep(time.Second / time.Duration(c.rate))
	}
	group.Wait()
}

func (c *callerGroup) call(i int) {
	id, result := fmt.Sprintf("%s-%d", c.name, i), &callerResult{}
	attempt := 1
	for try := range maxSends {
		if try > 0 {
			time.Sleep(resendInterval)
		}
		result.sends++
		result.verdict = c.send(i, id, attempt, c.callers[(i+try)%len(c.callers)], result)
		result.history = append(result.history, fmt.Sprintf("%s %s %s by %s", time.Now().Format(time.StampMilli), result.verdict, result.reason, c.callers[(i+try)%len(c.callers)]))
		if result.verdict == "ran" {
			break
		}
		if result.verdict == "may-have-run" {
			attempt++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[id] = result
}

// send sends a request once and returns its verdict. A refused connection counts as
// not-run, a lost answer as may-have-run.
func (c *callerGroup) send(i int, id string, attempt int, router string, result *callerResult) string {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	key := fmt.Sprintf("lane-%d", i%50)
	request.Header.SetMethod("POST")
	request.SetRequestURI("http://" + router + "/v1/" + c.path)
	request.Header.Set("Endivespring-Request-Id", id)
	request.Header.Set("Endivespring-Attempt", strconv.Itoa(attempt))
	request.Header.Set("Endivespring-Timeout-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	request.Header.Set("Endivespring-Key", key)
	request.SetBodyString(id)
	err := c.client.DoTimeout(request, response, requestTimeout+time.Second)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		result.reason = "refused connection"
		return "not-run"
	}
	if err != nil {
		result.reason = err.Error()
		return "may-have-run"
	}
	result.reason = string(response.Header.Peek("Endivespring-Reason"))
	verdict := string(response.Header.Peek("Endivespring-Verdict"))
	var body standin.Answer
	if verdict == "ran" && (json.Unmarshal(response.Body(), &body) != nil || body.RequestID != id || body.Key != key || body.Echo != id) {
		result.mismatched = true
	}
	return verdict
}

// cmdAnswered waits for callers and checks their verdicts against the ledgers:
// answered NAME
// A non-idempotent request ran at most once and, if its last verdict was not-run,
// never; one with the verdict ran did run; and no answer belongs to another
// request. Counts go to the file NAME.
func cmdAnswered(ts *testscript.TestScript, neg bool, args []string) {
	value, ok := callerGroups.Load(callerGroupKey{fleetOf(ts), args[0]})
	if neg || !ok {
		ts.Fatalf("no callers named %s", args[0])
	}
	c := value.(*callerGroup)
	<-c.done
	runs := readLedgers(ts)
	counts, violations := map[string]int{}, 0
	for id, result := range c.results {
		counts[result.verdict]++
		counts[result.verdict+" "+result.reason]++
		if result.verdict != "ran" {
			ts.Logf("%s: %v", id, result.history)
		}
		if violation := result.violation(runs[id], strings.HasSuffix(c.path, "/lookup")); violation != "" {
			violations++
			ts.Logf("%s: %s (last %s %s, %d sends, %d runs)", id, violation, result.verdict, result.reason, result.sends, runs[id])
		}
	}
	text := fmt.Sprintf("%s: sent=%d ran=%d not-run=%d may-have-run=%d %v\n", c.name, len(c.results), counts["ran"], counts["not-run"], counts["may-have-run"], counts)
	ts.Logf("%s", text)
	ts.Check(os.WriteFile(ts.MkAbs(c.name), []byte(text), 0o640))
	if violations > 0 {
		ts.Fatalf("%d requests have wrong verdicts or answers", violations)
	}
}

func (r *callerResult) violation(runs int, idempotent bool) string {
	switch {
	case r.mismatched:
		return "answer of another request"
	case !idempotent && runs > 1:
		return "ran more than once"
	case r.verdict == "ran" && runs == 0:
		return "verdict ran but did not run"
	case !idempotent && r.verdict == "not-run" && runs > 0:
		return "verdict not-run but ran"
	default:
		return ""
	}
}
