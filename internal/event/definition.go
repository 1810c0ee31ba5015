package event

// Definition describes one numbered event. Numbers are never reused.
type Definition struct {
	Number  int
	Name    string
	Level   Level
	Meaning string
	// index is the position in the catalogue.
	index int
}
