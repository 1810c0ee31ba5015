package platform

import (
	"encoding/json"
	"fmt"
	"time"
)

// readBack changes the time-out of a route and reads the desired state back as an operator does,
// at each core until it comes. The trouble: the change. It compares numbers, not texts.
func readBack(binary string, rec *record, trouble bool) bool {
	f := newFleet(binary, 3, nil, rec)
	defer f.stop()
	f.start()
	routes := map[string]route{"r-1": newRoute("hulo84.example", "/hucu512/", "unsafe", "ledger", 1.5)}
	body := configuration(1, 0, routes, map[string]any{"ledger": service(false)})
	order(f, "PUT", body)
	version, want := 1, 1.5
	if trouble {
		version, want = 4, 1.36
		changed := newRoute("hulo84.example", "/hucu512/", "unsafe", "ledger", 1.5)
		changed["timeout_s"] = want
		body, err := json.Marshal(map[string]any{"version": version, "base_version": 1, "upsert": map[string]any{"routes": map[string]any{"r-1": changed}}})
		check(err)
		order(f, "PATCH", body)
	}
	time.Sleep(3 * time.Second)
	broken, read := false, 0
	for end := time.Now().Add(20 * time.Second); read < len(f.cores) && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		m := f.cores[read]
		code, data := f.orderAt(m, "GET", "/api/configuration", nil)
		if code != 200 {
			continue
		}
		read++
		var got struct {
			Version int
			Routes  map[string]struct {
				Timeout float64 `json:"timeout_s"`
			}
		}
		check(json.Unmarshal(data, &got))
		rec.line("read at %s: %d %s", m.name, code, data)
		text := fmt.Sprintf("%s: version %d, timeout_s %v; sent were version %d, timeout_s %v", m.name, got.Version, got.Routes["r-1"].Timeout, version, want)
		rec.line("%s", text)
		fmt.Println(text)
		broken = broken || got.Version != version || got.Routes["r-1"].Timeout != want
	}
	if read < len(f.cores) {
		check(fmt.Errorf("the desired state did not come from every core"))
	}
	return broken
}

// order sends a desired state, which must be acknowledged.
func order(f *fleet, method string, body []byte) {
	code := f.order(method, "/api/configuration", body, 10*time.Second)
	f.record.line("sent: %s %s -> %d", method, body, code)
	if code != 200 {
		check(fmt.Errorf("%s was answered with %d", method, code))
	}
}

func init() { cases["read-back"] = readBack }
