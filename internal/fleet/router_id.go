// Package fleet holds the plain types that control processes and routers
// share: services, presets, routers, upstreams, shards and views.
package fleet

// RouterID names a router. It is stable over restarts.
type RouterID string
