// Package fleet holds the data types shared by control processes and routers:
// presets, services, routes, routers, upstreams, and the ownership of shards
// and ranges of keys, collected in a view.
package fleet

// RouterID identifies a router. It stays the same across restarts.
type RouterID string
