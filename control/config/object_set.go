package config

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key names an object of the platform that every instance holds.
type Key struct{ Kind, Name string }

// Object is one value of an object. Of two values the one with the higher revision is newer.
type Object struct {
	Key
	// Revision is the sequence number of the configuration, and the platform's version of any
	// other object.
	Revision uint64
	Data     []byte
}

// ObjectRevision is the revision of an object that an instance holds.
type ObjectRevision struct {
	Key
	Revision uint64
}

// ObjectSet are the newest objects that an instance has seen. They follow the rule of State for
// each object: a lower or equal revision is refused whatever its source. Holdings are not safe for
// concurrent use.
type ObjectSet struct {
	objects map[Key]Object
	hash    uint64
}

// Offer takes an object if it is newer than the one held. It reports whether it did.
func (h *ObjectSet) Offer(o Object) bool {
	old, known := h.objects[o.Key]
	if known && o.Revision <= old.Revision {
		return false
	}
	if h.objects == nil {
		h.objects = map[Key]Object{}
	}
	if known {
		h.hash ^= digest(old.Key, old.Revision)
	}
	h.objects[o.Key] = o
	h.hash ^= digest(o.Key, o.Revision)
	return true
}

// Get returns the object held under a key.
func (h *ObjectSet) Get(k Key) (Object, bool) {
	o, ok := h.objects[k]
	return o, ok
}

// Hash returns a hash of all keys and revisions.
func (h *ObjectSet) Hash() uint64 { return h.hash }

// Revisions returns all revisions, sorted by kind and name.
func (h *ObjectSet) Revisions() []ObjectRevision {
	out := make([]ObjectRevision, 0, len(h.objects))
	for k, o := range h.objects {
		out = append(out, ObjectRevision{Key: k, Revision: o.Revision})
	}
	slices.SortFunc(out, func(a, b ObjectRevision) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// Compare returns the objects that are newer here than what another instance holds, and what that
// instance holds newer.
func (h *ObjectSet) Compare(other []ObjectRevision) (newer []Object, older []ObjectRevision) {
	there := map[Key]uint64{}
	for _, o := range other {
		there[o.Key] = o.Revision
		if mine, known := h.objects[o.Key]; !known || mine.Revision < o.Revision {
			older = append(older, o)
		}
	}
	for _, mine := range h.Revisions() {
		if revision, known := there[mine.Key]; !known || revision < mine.Revision {
			newer = append(newer, h.objects[mine.Key])
		}
	}
	return newer, older
}

func digest(k Key, revision uint64) uint64 {
	raw := append([]byte(k.Kind), 0)
	raw = append(raw, k.Name...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(append(raw, 0), revision))
}
