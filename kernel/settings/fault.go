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

// maxValueBytes is the length at which a faulty value is truncated in a message.
const maxValueBytes = 80

// Fault is one error in a settings file.
type Fault struct {
	// Path is the slash-separated path of the key, such as "/plans/1/share", or "/" for the whole file.
	Path string `json:"path"`
	// Message states what was expected and what was found.
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

// faultCollector converts validation errors to faults.
type faultCollector struct {
	schema *node
	doc    any
	faults []Fault
}

func newFaultsError(file string, schema *node, doc any, results []gojsonschema.ResultError) error {
	c := faultCollector{schema: schema, doc: doc}
	for _, e := range results {
		c.addResult(e)
	}
	slices.SortFunc(c.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
	})
	return &FaultsError{File: file, Faults: slices.Compact(c.faults)}
}

func (c *faultCollector) addResult(e gojsonschema.ResultError) {
	at := contextKeys(e.Context())
	key, _ := e.Details()["property"].(string)
	switch e.(type) {
	case *gojsonschema.AdditionalPropertyNotAllowedError:
		c.add(append(slices.Clone(at), key), "unknown key; known keys are "+strings.Join(c.schema.at(at).keys(), ", "))
	case *gojsonschema.RequiredError:
		path := append(slices.Clone(at), key)
		c.add(path, "missing; expected "+c.schema.at(path).expected())
	default:
		c.add(at, "expected "+c.schema.at(at).expected()+", got "+formatValue(valueAt(c.doc, at)))
	}
}

// contextKeys returns the keys that lead to a value. It drops the first element of the context, which stands for the
// whole file.
func contextKeys(context *gojsonschema.JsonContext) []string {
	const separator = "\x00"
	return strings.Split(context.String(separator), separator)[1:]
}

func (c *faultCollector) add(location []string, message string) {
	c.faults = append(c.faults, Fault{Path: "/" + strings.Join(location, "/"), Message: message})
}

func valueAt(doc any, location []string) any {
	for _, key := range location {
		switch v := doc.(type) {
		case map[string]any:
			doc = v[key]
		case []any:
			i, err := strconv.Atoi(key)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			doc = v[i]
		}
	}
	return doc
}

func formatValue(v any) string {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return fmt.Sprint(v)
	}
	text := strings.TrimSpace(b.String())
	if len(text) > maxValueBytes {
		return strings.ToValidUTF8(text[:maxValueBytes], "") + "…"
	}
	return text
}

// syntaxFault returns a FaultsError for a file that is not valid JSON, with the line of a syntax error.
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
