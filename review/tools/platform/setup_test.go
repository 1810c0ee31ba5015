package cases

import (
	"encoding/json"
	"time"
)

// route is a route of a desired state.
type route struct {
	Host          string  `json:"host"`
	PathPrefix    string  `json:"path_prefix"`
	Kind          string  `json:"kind"`
	Timeout       float64 `json:"timeout_s"`
	TargetLatency float64 `json:"target_latency_s"`
	Priority      int     `json:"priority"`
	Service       string  `json:"service"`
	MaxAttempts   int     `json:"max_attempts"`
}

// service is a service of a desired state.
type service struct {
	HealthCheckPath string  `json:"health_check_path"`
	MaxConnections  int     `json:"max_connections"`
	Protocol        string  `json:"protocol"`
	TLS             bool    `json:"tls"`
	ColdStart       float64 `json:"cold_start_s"`
	ColdPerSecond   float64 `json:"cold_per_s"`
	Sharded         bool    `json:"sharded,omitempty"`
	WarmUp          float64 `json:"warm_up_s,omitempty"`
	Grants          string  `json:"grants,omitempty"`
}

func shardedService() service {
	return service{HealthCheckPath: "/health", MaxConnections: 130, Protocol: "h1", ColdStart: 3, ColdPerSecond: 17, Sharded: true, WarmUp: 2, Grants: "heartbeat"}
}

func plainService() service {
	return service{HealthCheckPath: "/health", MaxConnections: 130, Protocol: "h1", ColdStart: 3, ColdPerSecond: 17}
}

// desiredState returns the body of a PUT of a whole desired state.
func desiredState(version, base int, routes map[string]route, services map[string]service) []byte {
	data, _ := json.Marshal(map[string]any{
		"version": version, "base_version": base, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	return data
}

// begin starts a fleet with its first desired state and waits until all routers are ready.
func begin(f *fleet, state []byte) (*operator, error) {
	if err := f.startAll(); err != nil {
		return nil, err
	}
	o := &operator{fleet: f}
	time.Sleep(time.Second)
	if err := o.mustOrder("PUT", "/api/configuration", state, 20*time.Second); err != nil {
		return nil, err
	}
	return o, f.waitReady(20 * time.Second)
}
