package storage

// Identity names a disk. It is made when the data folder is first used.
type Identity struct {
	Fleet string `json:"fleet"`
	Name  string `json:"name"`
	Disk  string `json:"disk"`
}
