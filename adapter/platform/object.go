// Package platform is the HTTP client of the platform's object API, which provides versioned objects with
// conditional writes and watches, and the list of instances.
//
// Paths, relative to the base URL:
//
//	GET    /v1/objects/{kind}/{name}            one object
//	PUT    /v1/objects/{kind}/{name}            conditional write, see HeaderIfVersion
//	DELETE /v1/objects/{kind}/{name}            conditional delete
//	GET    /v1/watch/{kind}?after=R&wait_ms=W   objects of a kind changed after revision R
//	GET    /v1/instances                        live and leaving instances, can be stale
package platform

import (
	"encoding/json"

	"github.com/pkg/errors"
)

const (
	// HeaderIfVersion carries the version that a conditional write expects. "0" means that the object must not
	// exist.
	HeaderIfVersion = "If-Version"
	// HeaderPurpose carries the purpose of a call. Client and server count calls by it.
	HeaderPurpose = "Purpose"
	// HeaderTTL carries the time to live of a written object in milliseconds.
	HeaderTTL = "Ttl-Ms"
	// MaxValueBytes is the maximum size of an object's data.
	MaxValueBytes = 1 << 20
)

// Version is a sequence number of the writes to the whole store. The version of an object is that of its last
// write.
type Version uint64

// Object is an object of the store.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version Version         `json:"version"`
	Data    json.RawMessage `json:"data,omitempty"`
	// Deleted marks the removal of the object in the result of a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// Changes is the result of one watch call.
type Changes struct {
	// Revision is the revision to pass to the next watch call.
	Revision Version  `json:"revision"`
	Objects  []Object `json:"objects"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

const (
	// InstanceLive means that the platform assumes that the instance is running.
	InstanceLive InstanceState = "live"
	// InstanceLeaving means that the platform has told the instance to stop.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances, which can be stale.
type Instance struct {
	ID            string        `json:"id"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	State         InstanceState `json:"state"`
	// Capacity is the processor capacity in thousandths of a core, 0 if it is not known.
	Capacity uint32 `json:"capacity,omitempty"`
}

// ErrNotFound means that the object does not exist.
var ErrNotFound = errors.New("object not found")

// ErrUnavailable means that the platform gave no valid response. A write may have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// ConflictError means that a conditional write failed because the object has another version than expected. The
// write had no effect.
type ConflictError struct {
	Kind, Name       string
	Expected, Actual Version
}

// Error returns a message that names the object and both versions.
func (e *ConflictError) Error() string {
	return errors.Errorf("object %s/%s has version %d, expected %d", e.Kind, e.Name, e.Actual, e.Expected).Error()
}
