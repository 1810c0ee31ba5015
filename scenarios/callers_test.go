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

	"endivespring/internal/standin"
)

const (
	callerTries   = 6                      // sends of one request
	callerPause   = 100 * time.Millisecond // time between sends of one request
	callerTimeout = 3 * time.Second        // longest time for one send
)

// crowd is callers at work: each sends one request and sends it again, marked
// if it may have run, to the next router until it has an answer.
type crowd struct {
	name, path string
	callers    []string
	rate       int
	duration   time.Duration
	client     *fasthttp.Client
	done       chan struct{}

	mu    sync.Mutex
	fates map[string]*fate
}

// fate is what one caller was told.
type fate struct {
	last, reason string
	trail        []string
	mismatched   bool
	sends        int
}

var crowds sync.Map // by crowdKey

type crowdKey struct {
	fleet *fleet
	name  string
}

// cmdCallers starts callers and returns at once:
// callers NAME DURATION RATE SERVICE/OPERATION UPSTREAM[,UPSTREAM...]
func cmdCallers(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 5 {
		ts.Fatalf("usage: callers NAME DURATION RATE SERVICE/OPERATION UPSTREAM,...")
	}
	c := &crowd{name: args[0], path: args[3], done: make(chan struct{}), fates: map[string]*fate{}}
	var err error
	c.duration, err = time.ParseDuration(args[1])
	ts.Check(err)
	c.rate, err = strconv.Atoi(args[2])
	ts.Check(err)
	for _, name := range strings.Split(args[4], ",") {
		c.callers = append(c.callers, ts.Getenv("caller_"+name))
	}
	c.client = &fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	crowds.Store(crowdKey{fleetOf(ts), c.name}, c)
	go c.run()
}

func (c *crowd) run() {
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

func (c *crowd) call(i int) {
	id, f := fmt.Sprintf("%s-%d", c.name, i), &fate{}
	attempt := 1
	for try := range callerTries {
		if try > 0 {
			time.Sleep(callerPause)
		}
		f.sends++
		f.last = c.send(i, id, attempt, c.callers[(i+try)%len(c.callers)], f)
		f.trail = append(f.trail, fmt.Sprintf("%s %s %s by %s", time.Now().Format(time.StampMilli), f.last, f.reason, c.callers[(i+try)%len(c.callers)]))
		if f.last == "ran" {
			break
		}
		if f.last == "may-have-run" {
			attempt++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fates[id] = f
}

// send returns the verdict, also for a send without an answer.
func (c *crowd) send(i int, id string, attempt int, router string, f *fate) string {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	key := fmt.Sprintf("lane-%d", i%50)
	request.Header.SetMethod("POST")
	request.SetRequestURI("http://" + router + "/v1/" + c.path)
	request.Header.Set("Endivespring-Request-Id", id)
	request.Header.Set("Endivespring-Attempt", strconv.Itoa(attempt))
	request.Header.Set("Endivespring-Timeout-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	request.Header.Set("Endivespring-Key", key)
	request.SetBodyString(id)
	err := c.client.DoTimeout(request, response, callerTimeout+time.Second)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		f.reason = "refused connection"
		return "not-run"
	}
	if err != nil {
		f.reason = err.Error()
		return "may-have-run"
	}
	f.reason = string(response.Header.Peek("Endivespring-Reason"))
	told := string(response.Header.Peek("Endivespring-Verdict"))
	var body standin.Answer
	if told == "ran" && (json.Unmarshal(response.Body(), &body) != nil || body.RequestID != id || body.Key != key || body.Echo != id) {
		f.mismatched = true
	}
	return told
}

// cmdAnswered waits for callers and checks what they were told against the
// ledgers: answered NAME. Non-idempotent requests ran at most once, those told
// ran did, those told not-run did not, and no answer was another request's.
// Counts go to the file NAME.
func cmdAnswered(ts *testscript.TestScript, neg bool, args []string) {
	value, ok := crowds.Load(crowdKey{fleetOf(ts), args[0]})
	if neg || !ok {
		ts.Fatalf("no callers %s", args[0])
	}
	c := value.(*crowd)
	<-c.done
	runs := readLedgers(ts)
	counts, wrong := map[string]int{}, 0
	for id, f := range c.fates {
		counts[f.last]++
		counts[f.last+" "+f.reason]++
		if f.last != "ran" {
			ts.Logf("%s: %v", id, f.trail)
		}
		if problem := f.problem(runs[id], strings.HasSuffix(c.path, "/lookup")); problem != "" {
			wrong++
			ts.Logf("%s: %s (last %s %s, %d sends, %d runs)", id, problem, f.last, f.reason, f.sends, runs[id])
		}
	}
	text := fmt.Sprintf("%s: sent=%d ran=%d not-run=%d may-have-run=%d %v\n", c.name, len(c.fates), counts["ran"], counts["not-run"], counts["may-have-run"], counts)
	ts.Logf("%s", text)
	ts.Check(os.WriteFile(ts.MkAbs(c.name), []byte(text), 0o640))
	if wrong > 0 {
		ts.Fatalf("%d callers were told wrong", wrong)
	}
}

func (f *fate) problem(runs int, idempotent bool) string {
	switch {
	case f.mismatched:
		return "answer of another request"
	case !idempotent && runs > 1:
		return "ran more than once"
	case f.last == "ran" && runs == 0:
		return "told ran but did not"
	case !idempotent && f.last == "not-run" && runs > 0:
		return "told not-run but ran"
	default:
		return ""
	}
}
