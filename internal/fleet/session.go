package fleet

// Session identifies one incarnation of a router at control. Sessions are
// never reused; zero means none.
type Session uint64
