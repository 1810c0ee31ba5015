package fleet

// Session is the ID of a router's session with control. A restarted router gets a
// new one. IDs are never reused; zero means none.
type Session uint64
