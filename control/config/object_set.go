package config

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an object of the platform that is replicated to every instance.
type Key struct{ Kind, Name string }

// Object is one version of an object. The version with the higher revision is newer.
type Object struct {
	Key
	// Revision is the sequence number for the configuration and the platform's version for any other
	// object.
	Revision uint64
	Data     []byte
}

// ObjectRevision is the revision of an object that an instance has.
type ObjectRevision struct {
	Key
	Revision uint64
}

// ObjectSet contains the newest version of each object that an instance has received. As in State, a
// lower or equal revision is refused regardless of its source. It is not safe for concurrent use.
type ObjectSet struct {
	objects map[Key]Object
	hash    uint64
}

// Offer stores an object if it is newer than the stored version. It reports whether it did.
func (s *ObjectSet) Offer(o Object) bool {
	old, ok := s.objects[o.Key]
	if ok && o.Revision <= old.Revision {
		return false
	}
	if s.objects == nil {
		s.objects = map[Key]Object{}
	}
	if ok {
		s.hash ^= digest(old.Key, old.Revision)
	}
	s.objects[o.Key] = o
	s.hash ^= digest(o.Key, o.Revision)
	return true
}

// Get returns the object with a key.
func (s *ObjectSet) Get(k Key) (Object, bool) {
	o, ok := s.objects[k]
	return o, ok
}

// Hash returns a hash of all keys and revisions.
func (s *ObjectSet) Hash() uint64 { return s.hash }

// Revisions returns all revisions, sorted by kind and name.
func (s *ObjectSet) Revisions() []ObjectRevision {
	out := make([]ObjectRevision, 0, len(s.objects))
	for k, o := range s.objects {
		out = append(out, ObjectRevision{Key: k, Revision: o.Revision})
	}
	slices.SortFunc(out, func(a, b ObjectRevision) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// Compare returns the objects that another instance lacks or has in an older revision, and the revisions
// of that instance that this set lacks or has in an older revision.
func (s *ObjectSet) Compare(other []ObjectRevision) (newer []Object, older []ObjectRevision) {
	there := map[Key]uint64{}
	for _, o := range other {
		there[o.Key] = o.Revision
		if mine, ok := s.objects[o.Key]; !ok || mine.Revision < o.Revision {
			older = append(older, o)
		}
	}
	for _, mine := range s.Revisions() {
		if revision, ok := there[mine.Key]; !ok || revision < mine.Revision {
			newer = append(newer, s.objects[mine.Key])
		}
	}
	return newer, older
}

func digest(k Key, revision uint64) uint64 {
	raw := append([]byte(k.Kind), 0)
	raw = append(raw, k.Name...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(append(raw, 0), revision))
}
