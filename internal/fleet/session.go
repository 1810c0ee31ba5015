package fleet

// Session identifies a session of a router with the control processes. IDs are
// never reused; zero means none.
type Session uint64
