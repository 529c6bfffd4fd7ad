// Package settings loads JSON settings files and checks them against a JSON schema, so that all
// faults of a file are reported at once.
package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
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
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return none, syntaxFault(file, raw, err)
	}
	if err := compiled.Validate(doc); err != nil {
		return none, faultsOf(file, root, doc, err)
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		return none, &FaultsError{File: file, Faults: []Fault{{Path: "/", Message: err.Error()}}}
	}
	return value, nil
}

func compile(schema []byte) (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, errors.Wrap(err, "decode settings schema")
	}
	c := jsonschema.NewCompiler()
	registerFormats(c)
	if err := c.AddResource("settings.json", doc); err != nil {
		return nil, errors.Wrap(err, "add settings schema")
	}
	compiled, err := c.Compile("settings.json")
	return compiled, errors.Wrap(err, "compile settings schema")
}
