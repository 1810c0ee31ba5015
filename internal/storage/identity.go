package storage

// Identity says which fleet and node a data folder belongs to. Disk is a random
// ID that is generated when the folder is first used.
type Identity struct {
	Fleet string `json:"fleet"`
	Name  string `json:"name"`
	Disk  string `json:"disk"`
}
