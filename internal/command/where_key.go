package command

import (
	"fmt"
	"io"
)

// whereKey is the ownership of the key of a request in the output of explain where.
type whereKey struct {
	Key   string `json:"key"`
	Shard string `json:"shard,omitempty"`
	Phase string `json:"phase"`
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
}

func (k *whereKey) print(w io.Writer) {
	name, owner := "key "+k.Key, k.Owner
	if k.Shard != "" {
		name += " in shard " + k.Shard
	}
	if owner == "" {
		owner = "none"
	}
	fmt.Fprintf(w, "%s: %s, owner %s, epoch %d\n", name, k.Phase, owner, k.Epoch)
}
