// Package settings loads JSON settings files and validates them against a JSON schema, so that all
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

// Duration is a time.Duration that is encoded in JSON as a string with a unit, for example "99ms".
type Duration time.Duration

// UnmarshalJSON parses a string such as "99ms".
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

// Load reads a file, validates it against the schema and decodes it into a T. If the contents are invalid,
// the error is a *FaultsError that lists all faults.
func Load[T any](file string, schema []byte) (T, error) {
	var zero T
	raw, err := os.ReadFile(file)
	if err != nil {
		return zero, errors.Wrap(err, "read settings")
	}
	return Parse[T](file, raw, schema)
}

// Parse is like Load for contents that are already in memory. The file name is used in error messages only.
func Parse[T any](file string, raw, schema []byte) (T, error) {
	var zero, value T
	compiled, err := compile(schema)
	if err != nil {
		return zero, err
	}
	root, err := parseSchema(schema)
	if err != nil {
		return zero, err
	}
	doc, err := decode(raw)
	if err != nil {
		return zero, syntaxFault(file, raw, err)
	}
	result, err := compiled.Validate(gojsonschema.NewRawLoader(doc))
	if err != nil {
		return zero, errors.Wrapf(err, "check settings %s", file)
	}
	if !result.Valid() {
		return zero, newFaultsError(file, root, doc, result.Errors())
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		return zero, &FaultsError{File: file, Faults: []Fault{{Path: "/", Message: err.Error()}}}
	}
	return value, nil
}

// decode decodes a JSON text that must consist of a single value. It preserves the text of numbers.
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
	// Of the drafts that the library supports, Draft 7 has all keywords used by the schemas.
	loader.AutoDetect, loader.Draft = false, gojsonschema.Draft7
	compiled, err := loader.Compile(gojsonschema.NewBytesLoader(schema))
	return compiled, errors.Wrap(err, "compile settings schema")
}
