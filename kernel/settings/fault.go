package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/xeipuuv/gojsonschema"
)

// maxShownBytes bounds how much of a faulty value a message repeats.
const maxShownBytes = 80

// Fault is one mistake in a settings file.
type Fault struct {
	// Path is the JSON pointer of the key, "/" for the whole file.
	Path string `json:"path"`
	// Message says what was expected and what was found.
	Message string `json:"message"`
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
		fmt.Fprintf(&b, "\n  %s: %s", f.Path, f.Message)
	}
	return b.String()
}

// collector turns validation errors into faults.
type collector struct {
	schema *node
	doc    any
	faults []Fault
}

func faultsOf(file string, schema *node, doc any, list []gojsonschema.ResultError) error {
	c := collector{schema: schema, doc: doc}
	for _, e := range list {
		c.take(e)
	}
	slices.SortFunc(c.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
	})
	return &FaultsError{File: file, Faults: slices.Compact(c.faults)}
}

func (c *collector) take(e gojsonschema.ResultError) {
	at := locationOf(e.Context())
	key, _ := e.Details()["property"].(string)
	switch e.(type) {
	case *gojsonschema.AdditionalPropertyNotAllowedError:
		c.add(append(slices.Clone(at), key), "unknown key; known keys are "+strings.Join(c.schema.at(at).keys(), ", "))
	case *gojsonschema.RequiredError:
		path := append(slices.Clone(at), key)
		c.add(path, "missing; expected "+c.schema.at(path).expected())
	default:
		c.add(at, "expected "+c.schema.at(at).expected()+", got "+shown(valueAt(c.doc, at)))
	}
}

// locationOf returns the keys on the way to a value. The first element of a context stands for the whole file.
func locationOf(context *gojsonschema.JsonContext) []string {
	const separator = "\x00"
	return strings.Split(context.String(separator), separator)[1:]
}

func (c *collector) add(location []string, message string) {
	c.faults = append(c.faults, Fault{Path: "/" + strings.Join(location, "/"), Message: message})
}

func valueAt(doc any, location []string) any {
	for _, step := range location {
		switch v := doc.(type) {
		case map[string]any:
			doc = v[step]
		case []any:
			i, err := strconv.Atoi(step)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			doc = v[i]
		}
	}
	return doc
}

func shown(v any) string {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return fmt.Sprint(v)
	}
	text := strings.TrimSpace(b.String())
	if len(text) > maxShownBytes {
		return strings.ToValidUTF8(text[:maxShownBytes], "") + "…"
	}
	return text
}

// syntaxFault says where a file stops being JSON.
func syntaxFault(file string, raw []byte, err error) error {
	message := "not valid JSON: " + err.Error()
	var syntax *json.SyntaxError
	var discard any
	if errors.As(json.Unmarshal(raw, &discard), &syntax) {
		before := raw[:min(int(syntax.Offset), len(raw))]
		message = fmt.Sprintf("not valid JSON at line %d: %s", 1+bytes.Count(before, []byte("\n")), syntax)
	}
	return &FaultsError{File: file, Faults: []Fault{{Path: "/", Message: message}}}
}
