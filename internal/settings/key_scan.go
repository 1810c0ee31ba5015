package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// keyScan walks valid JSON and collects the paths of keys given twice in one
// object, which the JSON library would overwrite in silence.
type keyScan struct {
	decoder *json.Decoder
	twice   []string
}

func duplicateKeys(data []byte) []string {
	s := &keyScan{decoder: json.NewDecoder(bytes.NewReader(data))}
	s.value("")
	return s.twice
}

func (s *keyScan) value(path string) {
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

func (s *keyScan) object(path string) {
	seen := map[string]bool{}
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return
		}
		key, _ := token.(string)
		if seen[key] {
			s.twice = append(s.twice, join(path, key))
		}
		seen[key] = true
		s.value(join(path, key))
	}
	_, _ = s.decoder.Token()
}
