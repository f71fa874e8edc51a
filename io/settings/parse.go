package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"

	"github.com/go-faster/errors"
)

// maxBytes bounds the size of the settings, well above that of any valid file.
const maxBytes = 1 << 20

// Parse returns the settings of a role, or every fault in the order of the keys
// in the data and then of the validation. The settings are valid only if there
// is no fault.
func Parse(data []byte, rol Role) (Settings, []Fault) {
	if rol != Entry && rol != Agent {
		return Settings{}, []Fault{{path: "$", value: string(rol), expected: "role entry or agent"}}
	}
	if len(data) > maxBytes {
		return Settings{}, []Fault{{path: "$", value: fmt.Sprintf("%d bytes", len(data)), expected: fmt.Sprintf("at most %d bytes", maxBytes)}}
	}
	psr := parser{role: rol, doc: defaults(), seen: make(map[string]bool), broken: make(map[string]bool)}
	if err := psr.object(data); err != nil {
		psr.add("$", "", "one JSON object: "+err.Error())
		return Settings{}, psr.faults
	}
	psr.validate()
	if len(psr.faults) > 0 {
		return Settings{}, psr.faults
	}
	return Settings{role: rol, doc: psr.doc}, nil
}

// parser fills a document and collects faults.
type parser struct {
	role   Role
	doc    document
	seen   map[string]bool
	broken map[string]bool // paths that have a fault already
	faults []Fault
}

func (psr *parser) add(path, value, expected string) {
	if psr.broken[path] {
		return
	}
	psr.broken[path] = true
	psr.faults = append(psr.faults, newFault(path, value, expected))
}

// object reads the top level key by key, because encoding/json accepts a key
// that occurs twice and keys in another case.
func (psr *parser) object(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	first, err := dec.Token()
	if err != nil {
		return errors.Wrap(err, "read")
	}
	if first != json.Delim('{') {
		return errors.New("it begins with another value")
	}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return errors.Wrap(err, "read key")
		}
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return errors.Wrapf(err, "read value of %q", tok)
		}
		key, _ := tok.(string)
		psr.key(key, raw)
	}
	if _, err := dec.Token(); err != nil {
		return errors.Wrap(err, "read end")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data follows the object")
	}
	return nil
}

func (psr *parser) key(key string, raw json.RawMessage) {
	path := "$." + key
	if psr.seen[key] {
		psr.add(path, string(raw), "one occurrence of the key")
		return
	}
	psr.seen[key] = true
	field, found := fieldOf(&psr.doc, key, psr.role)
	if !found {
		psr.add(path, string(raw), "no such key for role "+string(psr.role))
		return
	}
	psr.value(path, field, raw)
}

// value decodes a value of exactly the field's type. A null is a fault, because
// encoding/json takes it for any type.
func (psr *parser) value(path string, field reflect.Value, raw json.RawMessage) {
	if field.Kind() == reflect.Slice {
		psr.list(path, field, raw)
		return
	}
	if string(raw) == "null" || json.Unmarshal(raw, field.Addr().Interface()) != nil {
		psr.add(path, string(raw), kindNames[field.Kind()])
	}
}

func (psr *parser) list(path string, field reflect.Value, raw json.RawMessage) {
	var items []json.RawMessage
	if string(raw) == "null" || json.Unmarshal(raw, &items) != nil {
		psr.add(path, string(raw), "a list")
		return
	}
	field.Set(reflect.MakeSlice(field.Type(), len(items), len(items)))
	for idx, item := range items {
		psr.value(fmt.Sprintf("%s[%d]", path, idx), field.Index(idx), item)
	}
}

var kindNames = map[reflect.Kind]string{
	reflect.String: "a string",
	reflect.Int:    "an integer",
}

// fieldOf returns the field of a key that the role uses.
func fieldOf(doc *document, key string, rol Role) (reflect.Value, bool) {
	val := reflect.ValueOf(doc).Elem()
	for idx := range val.NumField() {
		tag := val.Type().Field(idx).Tag
		if _, used := tag.Lookup(string(rol)); used && tag.Get("json") == key {
			return val.Field(idx), true
		}
	}
	return reflect.Value{}, false
}
