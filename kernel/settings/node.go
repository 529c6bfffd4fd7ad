package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// node is the subset of a JSON schema used for fault messages and the reference page.
type node struct {
	Description      string           `json:"description"`
	Type             string           `json:"type"`
	Format           string           `json:"format"`
	Pattern          string           `json:"pattern"`
	Enum             []any            `json:"enum"`
	Minimum          *json.Number     `json:"minimum"`
	ExclusiveMinimum *json.Number     `json:"exclusiveMinimum"`
	Maximum          *json.Number     `json:"maximum"`
	MinItems         int              `json:"minItems"`
	Default          any              `json:"default"`
	Required         []string         `json:"required"`
	Properties       map[string]*node `json:"properties"`
	// AdditionalProperties describes the values of a map with arbitrary keys. Its node is nil if the schema has
	// true or false here.
	AdditionalProperties *schemaOrBool `json:"additionalProperties"`
	Items                *node         `json:"items"`
}

// schemaOrBool is a schema, or a boolean in place of one, for which node is nil.
type schemaOrBool struct{ node *node }

// UnmarshalJSON accepts a schema or a boolean.
func (v *schemaOrBool) UnmarshalJSON(raw []byte) error {
	if string(raw) == "true" || string(raw) == "false" {
		return nil
	}
	v.node = &node{}
	return json.Unmarshal(raw, v.node)
}

func parseSchema(schema []byte) (*node, error) {
	var root node
	err := json.Unmarshal(schema, &root)
	return &root, errors.Wrap(err, "decode settings schema")
}

// at returns the schema of the value at a location, or an empty one if the schema does not describe it.
func (n *node) at(location []string) *node {
	for _, key := range location {
		next, ok := n.Properties[key]
		switch {
		case ok:
			n = next
		case n.Items != nil:
			n = n.Items
		case n.AdditionalProperties != nil && n.AdditionalProperties.node != nil:
			n = n.AdditionalProperties.node
		default:
			return &node{}
		}
	}
	return n
}

// expected describes the values that the schema allows.
func (n *node) expected() string {
	switch {
	case formats[n.Format].expected != "":
		return formats[n.Format].expected
	case len(n.Enum) > 0:
		return "one of " + joinValues(n.Enum)
	case n.Type == "integer":
		return "a whole number" + n.bounds()
	case n.Type == "number":
		return "a number" + n.bounds()
	case n.Type == "boolean":
		return "true or false"
	case n.Type == "array" && n.MinItems > 0:
		return fmt.Sprintf("a list of at least %d", n.MinItems)
	case n.Type == "array":
		return "a list"
	case n.Type == "object":
		return "an object"
	case n.Pattern != "":
		return "text that matches " + n.Pattern
	}
	return "text"
}

func (n *node) bounds() string {
	low := ""
	switch {
	case n.Minimum != nil:
		low = n.Minimum.String()
	case n.ExclusiveMinimum != nil && n.Maximum != nil:
		return fmt.Sprintf(" above %s and at most %s", *n.ExclusiveMinimum, *n.Maximum)
	case n.ExclusiveMinimum != nil:
		return " above " + n.ExclusiveMinimum.String()
	}
	switch {
	case low != "" && n.Maximum != nil:
		return fmt.Sprintf(" from %s to %s", low, *n.Maximum)
	case low != "":
		return " of at least " + low
	case n.Maximum != nil:
		return " of at most " + n.Maximum.String()
	}
	return ""
}

func (n *node) keys() []string { return slices.Sorted(maps.Keys(n.Properties)) }

func joinValues(values []any) string {
	words := make([]string, 0, len(values))
	for _, v := range values {
		words = append(words, fmt.Sprint(v))
	}
	return strings.Join(words, ", ")
}
