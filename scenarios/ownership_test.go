package scenarios

import (
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdUntil sends requests with the ids PREFIX-1, PREFIX-2 and so on until an
// answer matches: until PATTERN PREFIX UPSTREAM SERVICE/OPERATION [name=value...]
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: until PATTERN PREFIX UPSTREAM SERVICE/OPERATION [name=value...]")
	}
	pattern, err := regexp.Compile("(?s)" + args[0])
	ts.Check(err)
	var answer []byte
	end := time.Now().Add(eventuallyLimit)
	for n := 1; time.Now().Before(end); n++ {
		send(ts, append(args[2:], "id="+args[1]+"-"+strconv.Itoa(n)))
		answer, err = os.ReadFile(ts.MkAbs("answer"))
		ts.Check(err)
		if pattern.Match(answer) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("no answer matched %s, last:\n%s", args[0], answer)
}
