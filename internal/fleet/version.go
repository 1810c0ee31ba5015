package fleet

// Version counts the changes of a view. It never goes back.
type Version uint64
