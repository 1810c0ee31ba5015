package caller

// acceptedConnection is a connection for the front end to serve, or why none was accepted.
type acceptedConnection struct {
	connection *Connection
	err        error
}
