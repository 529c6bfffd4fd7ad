// Package claim provides at-most-once execution of requests that carry a key. For each bucket of keys it decides
// which requests are sent to a target and how resends are answered. A claim is stored in the bucket's head object
// before its request is sent. The head is changed only by conditional update, so its version is the fencing token.
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
	// Buckets is the number of buckets in the fleet. A change moves keys between heads, so it
	// requires new object kinds.
	Buckets = 16
	// Retention is the time for which claims are retained: the floor is this far behind the writer's clock.
	Retention = time.Hour
	// MaxAhead is the maximum by which the time of a key may be ahead of the writer's clock.
	MaxAhead = 5 * time.Minute
)

// MinKeyTime is the earliest time that a key can encode, in September 2001, because its milliseconds have 13 digits.
var MinKeyTime = time.UnixMilli(1_000_000_000_000)

// ErrKeyFormat reports that a key is not of the form "<unix milliseconds>-<random>".
var ErrKeyFormat = errors.New(`key: must be "<unix milliseconds>-<random>", with 13 digits and 1 to 64 letters, digits, dots or underscores`)

var keyFormat = regexp.MustCompile(`^[0-9]{13}-[A-Za-z0-9._-]{1,64}$`)

// Key identifies a request across all its submissions.
type Key string

// ParseKey returns s as a Key, or ErrKeyFormat if s is malformed.
func ParseKey(s string) (Key, error) {
	if !keyFormat.MatchString(s) {
		return "", ErrKeyFormat
	}
	return Key(s), nil
}

// Millis returns the time of the key in Unix milliseconds, or 0 if the key is malformed.
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

// ChooseWriter returns the member that should write a bucket, by rendezvous hashing. It returns "" if
// there are no members.
func ChooseWriter(bucket int, members []string) string {
	return rendezvous.Choose(strconv.Itoa(bucket), members)
}
