package caller

// phaseWord is a phase and the number of the changes of phase on a connection until then. A
// connection that is to be given up is compared with the word that was judged: it may have gone
// on to the same phase of another request.
type phaseWord int64

func (w phaseWord) phase() phase { return phase(w & (1<<phaseBits - 1)) }

// next returns the word of a connection that changes to a phase.
func (w phaseWord) next(p phase) phaseWord {
	return (w>>phaseBits+1)<<phaseBits | phaseWord(p)
}
