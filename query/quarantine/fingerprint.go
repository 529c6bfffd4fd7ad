package quarantine

import (
	"math/bits"
	"strconv"
	"strings"
	"unicode"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request: a hash of its index, its shape and its text.
type Fingerprint uint64

// Shape identifies the requests of one index whose texts have the same form.
type Shape uint64

// Identify returns the fingerprint and the shape of a request.
func Identify(index, text string) (Fingerprint, Shape) {
	shape := index + "\x00" + form(text)
	return Fingerprint(xxhash.Sum64String(shape + "\x00" + text)), Shape(xxhash.Sum64String(shape))
}

// Hash returns the fingerprint of a request that consists of the given parts.
func Hash(parts ...string) Fingerprint {
	h := xxhash.New()
	for _, p := range parts {
		// The length keeps parts apart that a moved boundary would make equal.
		_, _ = h.WriteString(strconv.Itoa(len(p)) + ":" + p) // A hash takes everything.
	}
	return Fingerprint(h.Sum64())
}

// form returns the text with each word replaced by "w", each number by "n" and runs of white space by
// one space. It starts with the order of magnitude of the length, because a very long text may fail
// where a short one of the same form does not.
func form(text string) string {
	var b strings.Builder
	b.WriteByte(byte('A' + bits.Len(uint(len(text)))))
	var last rune
	for _, r := range text {
		class := r
		switch {
		case unicode.IsLetter(r), unicode.IsMark(r):
			class = 'w'
		case unicode.IsDigit(r):
			class = 'n'
		case unicode.IsSpace(r):
			class = ' '
		}
		if class != last || !strings.ContainsRune("wn ", class) {
			b.WriteRune(class)
		}
		last = class
	}
	return b.String()
}
