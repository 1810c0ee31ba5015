package scenarios

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
)

// cmdMetrics serves and reads metrics: metrics add NAME writes an address into
// the settings NAME.json, metrics get NAME reads them into the file "metrics".
func cmdMetrics(ts *testscript.TestScript, neg bool, args []string) {
	file := ts.MkAbs(args[1] + ".json")
	settings := readSettings(ts, file)
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

// cmdPeers changes where control processes are in every settings file:
// peers move NAME gives a process new addresses, peers add NAME writes the
// settings and the data folder of one more.
func cmdPeers(ts *testscript.TestScript, neg bool, args []string) {
	name := args[1]
	fresh := map[string]any{"name": name, "peer": freeAddress(ts), "operator": freeAddress(ts)}
	files, err := filepath.Glob(ts.MkAbs("*-*.json"))
	ts.Check(err)
	var present []any
	for _, file := range append(files, ts.MkAbs("operator.json")) {
		settings := readSettings(ts, file)
		switch {
		case settings["peers"] != nil:
			present = replacePeer(settings["peers"].([]any), fresh)
			settings["peers"] = present
		case settings["caller"] != nil:
			settings["control"] = addresses(present, "peer")
		case settings["control"] != nil:
			settings["control"] = addresses(present, "operator")
		}
		writeJSON(ts, filepath.Base(file), settings)
	}
	if args[0] == "add" {
		settings := readSettings(ts, ts.MkAbs("control-1.json"))
		settings["name"], settings["dataFolder"] = name, ts.MkAbs(name)
		delete(settings, "metrics")
		writeJSON(ts, name+".json", settings)
		ts.Check(os.MkdirAll(ts.MkAbs(name), 0o750))
	}
}

func readSettings(ts *testscript.TestScript, file string) map[string]any {
	var settings map[string]any
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(file)), &settings))
	return settings
}

// replacePeer returns the peers with the one of the same name replaced, or one
// more.
func replacePeer(peers []any, fresh map[string]any) []any {
	for i, p := range peers {
		if p.(map[string]any)["name"] == fresh["name"] {
			peers[i] = fresh
			return peers
		}
	}
	return append(peers, fresh)
}

func addresses(peers []any, kind string) []any {
	var out []any
	for _, p := range peers {
		out = append(out, p.(map[string]any)[kind])
	}
	return out
}
