package metrics

import "endivespring/internal/caller"

// RegisterCallerMemory exports what callers' connections use and what was refused for it.
func RegisterCallerMemory(r *Registry, m *caller.Memory) {
	r.registerFunc(CallerBytes, func() int64 { used, _, _ := m.Used(); return int64(used) }, label{"budget", "connections"})
	r.registerFunc(CallerBytes, func() int64 { _, used, _ := m.Used(); return int64(used) }, label{"budget", "bodies"})
	r.registerFunc(CallerBytes, func() int64 { _, _, used := m.Used(); return int64(used) }, label{"budget", "answers"})
	r.registerFunc(CallerConnections, func() int64 { return int64(m.Open()) })
	for _, cause := range caller.RefusalCauses() {
		r.registerFunc(CallerRefusals, func() int64 { return m.Refused(cause) }, label{"cause", cause.String()})
	}
}
