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

// Shape identifies the requests of one index whose texts have the same normal form.
type Shape uint64

// Identify returns the fingerprint and the shape of a request.
func Identify(index, text string) (Fingerprint, Shape) {
	shape := index + "\x00" + normalForm(text)
	return Fingerprint(xxhash.Sum64String(shape + "\x00" + text)), Shape(xxhash.Sum64String(shape))
}

// Hash returns the fingerprint of a request that consists of the given parts in the given order.
func Hash(parts ...string) Fingerprint {
	h := xxhash.New()
	for _, p := range parts {
		// The length prefix distinguishes lists of parts that have the same concatenation.
		_, _ = h.WriteString(strconv.Itoa(len(p)) + ":" + p) // A hash never returns an error.
	}
	return Fingerprint(h.Sum64())
}

// normalForm returns the text with each word replaced by "w", each number by "n" and each run of white space
// by one space. It starts with the order of magnitude of the length, because a very long text may crash a
// target where a short one of the same form does not.
func normalForm(text string) string {
	var b strings.Builder
	b.WriteByte(byte('A' + bits.Len(uint(len(text)))))
	var previous rune
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
		if class != previous || !strings.ContainsRune("wn ", class) {
			b.WriteRune(class)
		}
		previous = class
	}
	return b.String()
}
