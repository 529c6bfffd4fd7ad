// Package claim decides, for one bucket of keys, which requests that may not be repeated are run,
// and what a resend is told. A claim is stored in the bucket's head object before its request is
// sent. The head is changed only by conditional update, so its version is the fencing token.
package claim

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pkg/errors"
	"hyssopcroft.example/control/rendezvous"
)

const (
	// Buckets is the number of buckets of the fleet. Changing it moves keys between heads, so
	// it needs new object kinds.
	Buckets = 16
	// Retention is how far the floor stays behind the writer's clock.
	Retention = time.Hour
	// MaxAhead is how far the time of a key may be ahead of the writer's clock.
	MaxAhead = 5 * time.Minute
)

// MinKeyTime is the first time that a key can hold, since its milliseconds have 13 digits: September 2001.
var MinKeyTime = time.UnixMilli(1_000_000_000_000)

// ErrKeyFormat says that a key is not of the form "<unix milliseconds>-<random>".
var ErrKeyFormat = errors.New(`key: must be "<unix milliseconds>-<random>", with 13 digits and 1 to 64 letters, digits, dots or underscores`)

var keyFormat = regexp.MustCompile(`^[0-9]{13}-[A-Za-z0-9._-]{1,64}$`)

// Key identifies a request over all its submissions.
type Key string

// ParseKey checks the format of a key. It fails with ErrKeyFormat.
func ParseKey(s string) (Key, error) {
	if !keyFormat.MatchString(s) {
		return "", ErrKeyFormat
	}
	return Key(s), nil
}

// Millis returns the time in the key in Unix milliseconds, 0 for a malformed key.
func (k Key) Millis() int64 {
	digits, _, _ := strings.Cut(string(k), "-")
	millis, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0
	}
	return millis
}

// Bucket returns the bucket of a key, from 0 to Buckets-1.
func (k Key) Bucket() int { return int(xxhash.Sum64String(string(k)) % Buckets) }

// ChooseWriter returns the member that writes a bucket, by rendezvous hashing. It returns "" if
// there are no members.
func ChooseWriter(bucket int, members []string) string {
	return rendezvous.Choose(strconv.Itoa(bucket), members)
}
