// Package settings loads JSON settings files and checks them against a JSON schema, so that all
// faults of a file are reported at once.
package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/xeipuuv/gojsonschema"
)

// Duration is a time.Duration that is written as a string with its unit, for example "99ms".
type Duration time.Duration

// UnmarshalJSON reads a string such as "99ms".
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Wrap(err, "a duration is a string with its unit")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "a duration has a number and a unit")
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes the form that UnmarshalJSON reads.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Load reads a file, checks it against the schema and decodes it into T. A *FaultsError lists
// everything that is wrong with the contents.
func Load[T any](file string, schema []byte) (T, error) {
	var none T
	raw, err := os.ReadFile(file)
	if err != nil {
		return none, errors.Wrap(err, "read settings")
	}
	return Parse[T](file, raw, schema)
}

// Parse does the work of Load on contents that are already in memory.
func Parse[T any](file string, raw, schema []byte) (T, error) {
	var none, value T
	compiled, err := compile(schema)
	if err != nil {
		return none, err
	}
	root, err := parseSchema(schema)
	if err != nil {
		return none, err
	}
	doc, err := decode(raw)
	if err != nil {
		return none, syntaxFault(file, raw, err)
	}
	result, err := compiled.Validate(gojsonschema.NewRawLoader(doc))
	if err != nil {
		return none, errors.Wrapf(err, "check settings %s", file)
	}
	if !result.Valid() {
		return none, faultsOf(file, root, doc, result.Errors())
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		return none, &FaultsError{File: file, Faults: []Fault{{Path: "/", Message: err.Error()}}}
	}
	return value, nil
}

// decode returns the one value of a JSON text, with numbers as they are written.
func decode(raw []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var doc any
	if err := decoder.Decode(&doc); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one value")
	}
	return doc, nil
}

func compile(schema []byte) (*gojsonschema.Schema, error) {
	loader := gojsonschema.NewSchemaLoader()
	// Of the drafts that the library knows, this one has all keywords that are used here.
	loader.AutoDetect, loader.Draft = false, gojsonschema.Draft7
	compiled, err := loader.Compile(gojsonschema.NewBytesLoader(schema))
	return compiled, errors.Wrap(err, "compile settings schema")
}
