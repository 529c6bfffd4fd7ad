// Package platform is an in-memory stand-in for the platform's object API. It counts calls by their
// purpose.
package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/kernel"
)

type objectKey struct{ kind, name string }

type storedObject struct {
	object    api.Object
	expiresAt time.Time // zero if the object does not expire
	writtenAt time.Time
	// previous is the object that the latest write replaced, marked as deleted if there was none.
	previous api.Object
}

// instanceList is a list of instances and the time at which it took effect.
type instanceList struct {
	since time.Time
	list  []api.Instance
}

// maxInstanceLists is the maximum number of lists in the history for InstancesAt.
const maxInstanceLists = 256

// Store holds versioned objects. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex // guards the fields below
	revision  api.Version
	objects   map[objectKey]storedObject // deleted objects remain as tombstones
	instances []instanceList             // in chronological order
	changed   chan struct{}              // closed and replaced on every write
}

// NewStore returns an empty store. Its revision starts at 1, since a watch after revision 0 returns
// immediately.
func NewStore() *Store {
	return &Store{revision: 1, objects: map[objectKey]storedObject{}, changed: make(chan struct{})}
}

// Get returns an object, or false if it does not exist.
func (s *Store) Get(kind, name string) (api.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	o, ok := s.objects[objectKey{kind, name}]
	return o.object, ok && !o.object.Deleted
}

// GetStale returns an object as it was before its latest write if that write is less than maxAge old
// or maxAge is 0. Otherwise it returns the same as Get.
func (s *Store) GetStale(kind, name string, maxAge time.Duration) (api.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	o, ok := s.objects[objectKey{kind, name}]
	if ok && (maxAge == 0 || now.Sub(o.writtenAt) < maxAge) {
		return o.previous, !o.previous.Deleted
	}
	return o.object, ok && !o.object.Deleted
}

// Put writes an object if its current version equals expected, where 0 means that it does not exist.
// It returns the written object and true, or the current version without data and false.
func (s *Store) Put(kind, name string, data json.RawMessage, expected api.Version, ttl time.Duration) (api.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	key := objectKey{kind, name}
	if current := s.currentVersion(key); current != expected {
		return api.Object{Kind: kind, Name: name, Version: current}, false
	}
	o := storedObject{object: api.Object{Kind: kind, Name: name, Data: slices.Clone(data)}}
	if ttl > 0 {
		o.expiresAt = now.Add(ttl)
	}
	return s.write(key, o), true
}

// Delete removes an existing object if its current version equals expected. Its results are like those of
// Put.
func (s *Store) Delete(kind, name string, expected api.Version) (api.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	key := objectKey{kind, name}
	if current := s.currentVersion(key); current != expected || current == 0 {
		return api.Object{Kind: kind, Name: name, Version: current}, false
	}
	return s.write(key, storedObject{object: api.Object{Kind: kind, Name: name, Deleted: true}}), true
}

// Watch returns the objects of a kind that changed after a revision. If there are none yet, it waits
// until there are, for at most wait. After revision 0 it returns all existing objects immediately.
func (s *Store) Watch(ctx context.Context, kind string, after api.Version, wait time.Duration) api.Changes {
	timeout := kernel.NewAlarm(wait)
	defer timeout.Stop()
	for {
		changes, changed := s.changesAfter(kind, after)
		if len(changes.Objects) > 0 || after == 0 {
			return changes
		}
		select {
		case <-changed:
		case <-timeout.C:
			return changes
		case <-ctx.Done():
			return changes
		}
	}
}

// SetInstances replaces the list of instances from now on.
func (s *Store) SetInstances(list []api.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, instanceList{since: time.Now(), list: slices.Clone(list)})
	if extra := len(s.instances) - maxInstanceLists; extra > 0 {
		s.instances = slices.Delete(s.instances, 0, extra)
	}
}

// Instances returns the list of instances.
func (s *Store) Instances() []api.Instance { return s.InstancesAt(time.Now()) }

// InstancesAt returns the list of instances at a time, nil before the oldest list in the history.
func (s *Store) InstancesAt(at time.Time) []api.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range slices.Backward(s.instances) {
		if !l.since.After(at) {
			return slices.Clone(l.list)
		}
	}
	return nil
}

// changesAfter returns the changes for Watch and a channel that is closed by the next write.
func (s *Store) changesAfter(kind string, after api.Version) (api.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	changes := api.Changes{Revision: s.revision}
	for key, o := range s.objects {
		matches := key.kind == kind && o.object.Version > after
		if matches && !(after == 0 && o.object.Deleted) {
			changes.Objects = append(changes.Objects, o.object)
		}
	}
	slices.SortFunc(changes.Objects, func(a, b api.Object) int { return cmp.Compare(a.Version, b.Version) })
	return changes, s.changed
}

// currentVersion returns the version of an object, 0 if it does not exist. s.mu must be held.
func (s *Store) currentVersion(key objectKey) api.Version {
	o, ok := s.objects[key]
	if !ok || o.object.Deleted {
		return 0
	}
	return o.object.Version
}

// write stores an object under the next revision and wakes all watches. s.mu must be held.
func (s *Store) write(key objectKey, o storedObject) api.Object {
	s.revision++
	o.object.Version = s.revision
	o.writtenAt = time.Now()
	o.previous = api.Object{Kind: key.kind, Name: key.name, Deleted: true}
	if old, ok := s.objects[key]; ok {
		o.previous = old.object
	}
	s.objects[key] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o.object
}

// expire deletes all objects that have expired by now. s.mu must be held.
func (s *Store) expire(now time.Time) {
	for key, o := range s.objects {
		if !o.expiresAt.IsZero() && !now.Before(o.expiresAt) {
			s.write(key, storedObject{object: api.Object{Kind: key.kind, Name: key.name, Deleted: true}})
		}
	}
}
