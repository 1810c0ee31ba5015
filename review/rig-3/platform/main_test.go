package platform

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"
)

// route is a route of the configuration.
type route map[string]any

func newRoute(host, prefix, kind, service string, timeout float64) route {
	return route{"host": host, "path_prefix": prefix, "kind": kind, "timeout_s": timeout, "target_latency_s": timeout / 2, "priority": 1, "service": service, "max_attempts": 2}
}

func service(sharded bool) map[string]any {
	s := map[string]any{"health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 17.0}
	if sharded {
		s["sharded"], s["warm_up_s"], s["grants"] = true, 5.0, "heartbeat"
	}
	return s
}

func configuration(version, base int, routes map[string]route, services map[string]any) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version, "base_version": base, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	check(err)
	return data
}

// TestMain runs the case that the command line names: the files here are test files, built with go test -c.
func TestMain(*testing.M) {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE BINARY RECORD")
		os.Exit(2)
	}
	rec := newRecord(os.Args[3])
	f := cases[os.Args[1]]
	if f == nil {
		fmt.Fprintln(os.Stderr, "rig: unknown case", os.Args[1])
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "rig: took too long")
		cleanUp()
		os.Exit(2)
	})
	broken := f(os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	cleanUp()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

var cases = map[string]func(binary string, rec *record, trouble bool) bool{}
