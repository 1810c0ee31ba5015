package caller

// candidate is a connection that may have to give up its memory, in the phase in which it was
// judged.
type candidate struct {
	connection *Connection
	word       phaseWord
}
