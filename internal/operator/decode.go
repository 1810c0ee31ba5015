package operator

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// What a decoded JSON text takes beside the bytes of its names and strings, at most, and what all
// of a body may take. A configuration of 16 MiB whose routes have six fields or more takes 64 MiB.
const (
	itemCost   = 128 // bytes for each object or list
	memberCost = 16  // bytes for each comma
	maxDecoded = 96 << 20
)

// errTooManyItems means that a body would take more memory than maxDecoded.
var errTooManyItems = eris.New("body has too many items")

// checkItems bounds the memory that a JSON text takes once it is decoded.
func checkItems(data []byte) error {
	items := bytes.Count(data, []byte{'{'}) + bytes.Count(data, []byte{'['})
	if items*itemCost+bytes.Count(data, []byte{','})*memberCost > maxDecoded {
		return errTooManyItems
	}
	return nil
}

// Decode decodes the JSON text of an operator's body, unless it would take more memory than an
// operator's order may.
func Decode(data []byte, body any) error {
	if err := checkItems(data); err != nil {
		return err
	}
	return json.Unmarshal(data, body)
}
