package peer

// guardInfo holds the connection of a stream.
type guardInfo struct{ connection *guardedConnection }

// AuthType names the kind of credentials.
func (guardInfo) AuthType() string { return "guard" }
