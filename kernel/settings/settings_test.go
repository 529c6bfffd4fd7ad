package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/kernel/settings"
)

const schema = `{
  "type": "object", "additionalProperties": false, "required": ["id", "listen"],
  "properties": {
    "id": {"type": "string", "format": "name", "description": "Id."},
    "listen": {"type": "string", "format": "address", "description": "Address."},
    "platform": {"type": "string", "format": "base-url"},
    "timeout": {"type": "string", "format": "time", "default": "30s"},
    "events": {"type": "integer", "minimum": 16, "maximum": 100},
    "level": {"enum": ["low", "high"]},
    "plans": {"type": "array", "items": {"type": "object", "additionalProperties": false,
      "properties": {"share": {"type": "number", "exclusiveMinimum": 0, "maximum": 1}}}}
  }
}`

type contents struct {
	ID      string            `json:"id"`
	Timeout settings.Duration `json:"timeout"`
}

// Guards against a validation that stops at the first fault, and against messages that do not state the
// expected value.
func TestLoadReportsAllFaults(t *testing.T) {
	cases := []struct {
		name, file string
		want       []settings.Fault
	}{
		{"good", `{"id":"a","listen":"[::1]:1","platform":"http://127.0.0.1:7000","timeout":"99ms"}`, nil},
		{"not JSON", "{\n\"id\":}", []settings.Fault{
			{Path: "/", Message: "not valid JSON at line 2: invalid character '}' looking for beginning of value"}}},
		{"not an object", `[]`, []settings.Fault{{Path: "/", Message: "expected an object, got []"}}},
		{"empty", `{}`, []settings.Fault{
			{Path: "/id", Message: "missing; expected 1 to 63 lower-case letters, digits and hyphens, the first not a hyphen, such as entry-1"},
			{Path: "/listen", Message: "missing; expected an IP address with a port, such as 127.0.0.1:7101"}}},
		{"many at once", `{"id":"A","listen":"localhost:1","platform":"http://h/x","timeou":"1s","events":3,"level":"mid","plans":[{},{"share":0}]}`,
			[]settings.Fault{
				{Path: "/events", Message: "expected a whole number from 16 to 100, got 3"},
				{Path: "/id", Message: `expected 1 to 63 lower-case letters, digits and hyphens, the first not a hyphen, such as entry-1, got "A"`},
				{Path: "/level", Message: `expected one of low, high, got "mid"`},
				{Path: "/listen", Message: `expected an IP address with a port, such as 127.0.0.1:7101, got "localhost:1"`},
				{Path: "/plans/1/share", Message: "expected a number above 0 and at most 1, got 0"},
				{Path: "/platform", Message: `expected a URL with a host and no path, such as http://127.0.0.1:7000, got "http://h/x"`},
				{Path: "/timeou", Message: "unknown key; known keys are events, id, level, listen, plans, platform, timeout"}}},
		{"port out of range", `{"id":"a","listen":"127.0.0.1:99999"}`, []settings.Fault{
			{Path: "/listen", Message: `expected an IP address with a port, such as 127.0.0.1:7101, got "127.0.0.1:99999"`}}},
		{"wrong types", `{"id":1,"listen":"127.0.0.1:1","timeout":30}`, []settings.Fault{
			{Path: "/id", Message: "expected 1 to 63 lower-case letters, digits and hyphens, the first not a hyphen, such as entry-1, got 1"},
			{Path: "/timeout", Message: "expected a whole number with the unit ms or s, such as 30s, got 30"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.json")
			require.NoError(t, os.WriteFile(file, []byte(c.file), 0o600))
			_, err := settings.Load[contents](file, []byte(schema))
			if c.want == nil {
				require.NoError(t, err)
				return
			}
			var faults *settings.FaultsError
			require.ErrorAs(t, err, &faults)
			require.Equal(t, c.want, faults.Faults)
			require.Contains(t, err.Error(), file)
			require.Contains(t, err.Error(), "\n  "+c.want[0].Path+": ")
		})
	}
}

// Guards against a missing file that is reported as invalid contents.
func TestLoadMissingFile(t *testing.T) {
	_, err := settings.Load[contents](filepath.Join(t.TempDir(), "none.json"), []byte(schema))
	require.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against keys that are missing from the reference.
func TestReferenceListsEveryKey(t *testing.T) {
	page, err := settings.Reference("Settings", "Introduction.", []byte(schema))
	require.NoError(t, err)
	for _, row := range []string{
		"| `/id` | Id. | 1 to 63 lower-case letters, digits and hyphens, the first not a hyphen, such as entry-1 | none, the key is required |",
		"| `/timeout` |  | a whole number with the unit ms or s, such as 30s | `\"30s\"` |",
		"| `/plans/*/share` |  | a number above 0 and at most 1 | none |",
	} {
		require.Contains(t, page, row)
	}
}
