// Package settings loads JSON settings files and checks them against a JSON schema, so that all
// faults of a file are reported at once.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Fault is one mistake in a settings file.
type Fault struct {
	// Path is the JSON pointer of the key, "/" for the whole file.
	Path string `json:"path"`
	// Expected says what the schema asks for.
	Expected string `json:"expected"`
}

// FaultsError reports all faults of one settings file.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error lists each fault on a line of its own.
func (e *FaultsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d fault(s)", e.File, len(e.Faults))
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "\n  %s: %s", f.Path, f.Expected)
	}
	return b.String()
}

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
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return none, &FaultsError{File: file, Faults: []Fault{{Path: "/", Expected: "valid JSON: " + err.Error()}}}
	}
	if err := compiled.Validate(doc); err != nil {
		return none, faultsOf(file, err)
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		return none, &FaultsError{File: file, Faults: []Fault{{Path: "/", Expected: err.Error()}}}
	}
	return value, nil
}

func compile(schema []byte) (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, errors.Wrap(err, "decode settings schema")
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	if err := c.AddResource("settings.json", doc); err != nil {
		return nil, errors.Wrap(err, "add settings schema")
	}
	compiled, err := c.Compile("settings.json")
	return compiled, errors.Wrap(err, "compile settings schema")
}

func faultsOf(file string, err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return errors.Wrapf(err, "check settings %s", file)
	}
	faults := &FaultsError{File: file}
	collectLeaves(invalid, faults)
	return faults
}

// collectLeaves walks the tree of validation errors; its leaves name the faulty keys.
func collectLeaves(e *jsonschema.ValidationError, faults *FaultsError) {
	if len(e.Causes) == 0 {
		printer := message.NewPrinter(language.English)
		path := "/" + strings.Join(e.InstanceLocation, "/")
		faults.Faults = append(faults.Faults, Fault{Path: path, Expected: e.ErrorKind.LocalizedString(printer)})
		return
	}
	for _, cause := range e.Causes {
		collectLeaves(cause, faults)
	}
}
