package scenarios

import (
	"encoding/json"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
)

// cmdMetrics serves and reads metrics: metrics add NAME writes an address into
// the settings NAME.json, metrics get NAME reads them into the file "metrics".
func cmdMetrics(ts *testscript.TestScript, neg bool, args []string) {
	file := ts.MkAbs(args[1] + ".json")
	var settings map[string]any
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(file)), &settings))
	if args[0] == "add" {
		settings["metrics"] = freeAddress(ts)
		writeJSON(ts, args[1]+".json", settings)
		return
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + settings["metrics"].(string) + "/metrics")
	ts.Check(fasthttp.DoTimeout(request, response, 10*time.Second))
	ts.Check(os.WriteFile(ts.MkAbs("metrics"), response.Body(), 0o640))
}
