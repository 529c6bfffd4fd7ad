package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Reference returns a Markdown page with one line for each key of a schema.
func Reference(title, introduction string, schema []byte) (string, error) {
	root, err := parseSchema(schema)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n\n", title, introduction)
	b.WriteString("| Key | Meaning | Value | Default |\n|---|---|---|---|\n")
	writeRows(&b, root, "")
	return b.String(), nil
}

func writeRows(b *strings.Builder, n *node, prefix string) {
	for _, key := range n.keys() {
		child := n.Properties[key]
		path := prefix + "/" + key
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", path, cell(child.Description), cell(child.expected()), defaultOf(n, key))
		writeRows(b, child, path)
		if child.Items != nil {
			writeRows(b, child.Items, path+"/*")
		}
	}
}

func defaultOf(parent *node, key string) string {
	switch value := parent.Properties[key].Default; {
	case slices.Contains(parent.Required, key):
		return "none, the key is required"
	case value == nil:
		return "none"
	default:
		return "`" + cell(shown(value)) + "`"
	}
}

// cell escapes what would end a cell of a Markdown table.
func cell(text string) string { return strings.ReplaceAll(text, "|", "\\|") }
