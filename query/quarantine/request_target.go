package quarantine

import (
	"strconv"
	"strings"
)

// CanonicalTarget returns a form of a request target (path and query) that is equal for equivalent ones by RFC 3986,
// section 6.2.2: scheme and authority are left out, escapes have upper-case digits, and characters that need no escape
// have none. The order of the parameters of a query is kept, because targets may distinguish it.
func CanonicalTarget(target string) string {
	if _, rest, absolute := strings.Cut(target, "://"); absolute && !strings.HasPrefix(target, "/") {
		target = "/"
		if i := strings.IndexAny(rest, "/?"); i >= 0 {
			target += strings.TrimPrefix(rest[i:], "/")
		}
	}
	if !strings.Contains(target, "%") {
		return target
	}
	var b strings.Builder
	b.Grow(len(target))
	for i := 0; i < len(target); i++ {
		value, escaped := escapedByte(target[i:])
		switch {
		case !escaped:
			b.WriteByte(target[i])
			continue
		case isUnreserved(value):
			b.WriteByte(value)
		default:
			b.WriteString(strings.ToUpper(target[i : i+escapeLength]))
		}
		i += escapeLength - 1
	}
	return b.String()
}

// escapeLength is the length of an escape in bytes: a percent sign and two hexadecimal digits.
const escapeLength = 3

// escapedByte returns the byte that s escapes at its start, or false if there is no valid escape.
func escapedByte(s string) (byte, bool) {
	if len(s) < escapeLength || s[0] != '%' {
		return 0, false
	}
	v, err := strconv.ParseUint(s[1:escapeLength], 16, 8)
	return byte(v), err == nil
}

// isUnreserved reports whether a character has the same meaning in a URL with and without an escape.
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
