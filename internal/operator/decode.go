package operator

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// What a decoded JSON text takes beside the bytes of its names and strings, about, and how much that
// may be. Bodies have a budget together, and so has what they are decoded to.
const (
	itemCost     = 128      // bytes for each object or list
	memberCost   = 16       // bytes for each comma
	maxGrowth    = 6        // bytes for each byte of the text
	smallDecoded = 64 << 10 // bytes that any text may take
)

// errTooManyItems means that a body would take many times its size.
var errTooManyItems = eris.New("body has too many items")

// checkItems bounds the memory that a JSON text takes once it is decoded.
func checkItems(data []byte) error {
	items := bytes.Count(data, []byte{'{'}) + bytes.Count(data, []byte{'['})
	if items*itemCost+bytes.Count(data, []byte{','})*memberCost > max(smallDecoded, maxGrowth*len(data)) {
		return errTooManyItems
	}
	return nil
}

// Decode decodes the JSON text of an operator's body, unless that takes many times its size.
func Decode(data []byte, body any) error {
	if err := checkItems(data); err != nil {
		return err
	}
	return json.Unmarshal(data, body)
}
