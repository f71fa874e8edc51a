// Package jsonlimit checks JSON texts of clients before they are decoded. A short text can decode to many times its
// size: each "{}" of a list becomes a whole struct.
package jsonlimit

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// maxDepth is far above the nesting of any message.
const maxDepth = 64

// Check returns an error if a list of a JSON text has more elements than most, or if lists and objects are nested deeper than
// any message. It reads only up to the first such place. It accepts texts that are not valid JSON, which the decoder reports.
func Check(data []byte, most int) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	var open []level
	for {
		tok, err := dec.Token()
		if err != nil {
			return nil
		}
		if tok == json.Delim(']') || tok == json.Delim('}') {
			open = open[:len(open)-1]
			continue
		}
		if len(open) > 0 && open[len(open)-1].add(most) {
			return fmt.Errorf("a list has more than %d elements", most)
		}
		if tok != json.Delim('[') && tok != json.Delim('{') {
			continue
		}
		if len(open) == maxDepth {
			return fmt.Errorf("lists and objects are nested more than %d deep", maxDepth)
		}
		open = append(open, level{list: tok == json.Delim('[')})
	}
}

// level is an open list or object.
type level struct {
	list     bool
	elements int
}

// add counts an element, and reports whether a list has more than most.
func (lvl *level) add(most int) bool {
	lvl.elements++
	return lvl.list && lvl.elements > most
}
