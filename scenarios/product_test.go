package scenarios

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
)

// cmdMetrics handles a process's metrics:
// metrics add NAME adds a metrics address to the settings file NAME.json;
// metrics get NAME writes the metrics of the running process to the file "metrics".
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

// cmdPeers changes the control processes in every settings file:
// peers move NAME gives a process new addresses;
// peers add NAME adds a process, with its settings file and data folder.
func cmdPeers(ts *testscript.TestScript, neg bool, args []string) {
	name := args[1]
	newPeer := map[string]any{"name": name, "peer": freeAddress(ts), "operator": freeAddress(ts)}
	files, err := filepath.Glob(ts.MkAbs("*-*.json"))
	ts.Check(err)
	var peers []any
	for _, file := range append(files, ts.MkAbs("operator.json")) {
		settings := readSettings(ts, file)
		switch {
		case settings["peers"] != nil:
			peers = replacePeer(settings["peers"].([]any), newPeer)
			settings["peers"] = peers
		case settings["caller"] != nil:
			settings["control"] = addresses(peers, "peer")
		case settings["control"] != nil:
			settings["control"] = addresses(peers, "operator")
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

// replacePeer replaces the peer of the same name, or appends the new one.
func replacePeer(peers []any, newPeer map[string]any) []any {
	for i, p := range peers {
		if p.(map[string]any)["name"] == newPeer["name"] {
			peers[i] = newPeer
			return peers
		}
	}
	return append(peers, newPeer)
}

func addresses(peers []any, kind string) []any {
	var out []any
	for _, p := range peers {
		out = append(out, p.(map[string]any)[kind])
	}
	return out
}
