package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Reference returns a Markdown page with one table row for each key of a schema.
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
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", path, escapeCell(child.Description), escapeCell(child.expected()), defaultText(n, key))
		writeRows(b, child, path)
		if child.Items != nil {
			writeRows(b, child.Items, path+"/*")
		}
	}
}

func defaultText(parent *node, key string) string {
	switch value := parent.Properties[key].Default; {
	case slices.Contains(parent.Required, key):
		return "none, the key is required"
	case value == nil:
		return "none"
	default:
		return "`" + escapeCell(formatValue(value)) + "`"
	}
}

// escapeCell escapes the characters that would end a cell of a Markdown table.
func escapeCell(text string) string { return strings.ReplaceAll(text, "|", "\\|") }
