package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// duplicateKeyScanner walks valid JSON and collects the paths of keys that occur
// twice in one object. The JSON library would silently keep the last value.
type duplicateKeyScanner struct {
	decoder    *json.Decoder
	duplicates []string
}

func duplicateKeys(data []byte) []string {
	s := &duplicateKeyScanner{decoder: json.NewDecoder(bytes.NewReader(data))}
	s.value("")
	return s.duplicates
}

func (s *duplicateKeyScanner) value(path string) {
	token, err := s.decoder.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('{'):
		s.object(path)
	case json.Delim('['):
		for i := 0; s.decoder.More(); i++ {
			s.value(fmt.Sprintf("%s[%d]", path, i))
		}
		_, _ = s.decoder.Token()
	}
}

func (s *duplicateKeyScanner) object(path string) {
	seen := map[string]bool{}
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return
		}
		key, _ := token.(string)
		if seen[key] {
			s.duplicates = append(s.duplicates, joinPath(path, key))
		}
		seen[key] = true
		s.value(joinPath(path, key))
	}
	_, _ = s.decoder.Token()
}
