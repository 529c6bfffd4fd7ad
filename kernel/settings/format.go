package settings

import (
	"net/netip"
	"net/url"
	"regexp"

	"github.com/xeipuuv/gojsonschema"
)

// format is a string format that a schema can require with the "format" keyword.
type format struct {
	// expected describes the valid values; messages put "expected" before it.
	expected string
	valid    func(string) bool
}

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	durationPattern = regexp.MustCompile(`^[0-9]+(ms|s)$`)
)

var formats = map[string]format{
	"name": {
		expected: "1 to 63 lower-case letters, digits and hyphens, the first not a hyphen, such as entry-1",
		valid:    namePattern.MatchString,
	},
	"address": {
		expected: "an IP address with a port, such as 127.0.0.1:7101",
		valid: func(s string) bool {
			_, err := netip.ParseAddrPort(s)
			return err == nil
		},
	},
	"base-url": {
		expected: "a URL with a host and no path, such as http://127.0.0.1:7000",
		valid: func(s string) bool {
			u, err := url.Parse(s)
			return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" &&
				u.Path == "" && u.RawQuery == "" && u.Fragment == "" && u.User == nil
		},
	},
	"time": {
		expected: "a whole number with the unit ms or s, such as 30s",
		valid:    durationPattern.MatchString,
	},
}

// IsFormat implements gojsonschema.FormatChecker. It accepts values that are not strings, which are left to the "type"
// keyword.
func (f format) IsFormat(v any) bool {
	s, ok := v.(string)
	return !ok || f.valid(s)
}

// The library has one set of formats per process. The "time" format replaces the one of the same name in the library.
func init() {
	for name, f := range formats {
		gojsonschema.FormatCheckers.Add(name, f)
	}
}
