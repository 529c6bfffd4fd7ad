// Package platform speaks to the platform's object API over HTTP: versioned objects with
// conditional updates and watches, and the list of instances.
//
// Paths, relative to the base URL:
//
//	GET    /v1/objects/{kind}/{name}            one object
//	PUT    /v1/objects/{kind}/{name}            conditional write, see HeaderIfVersion
//	DELETE /v1/objects/{kind}/{name}            conditional delete
//	GET    /v1/watch/{kind}?after=R&wait_ms=W   objects of a kind changed after revision R
//	GET    /v1/instances                        live and leaving instances, lagging
package platform

import (
	"encoding/json"

	"github.com/pkg/errors"
)

const (
	// HeaderIfVersion carries the version that a conditional write expects; "0" expects that the
	// object does not exist.
	HeaderIfVersion = "If-Version"
	// HeaderPurpose says what a call is for. Calls are counted by it on both sides.
	HeaderPurpose = "Purpose"
	// HeaderTTL carries the time in milliseconds after which a written object expires.
	HeaderTTL = "Ttl-Ms"
	// MaxValueBytes is the largest size of an object's data.
	MaxValueBytes = 1 << 20
)

// Version counts the writes of the whole store; an object has the version of its latest write.
type Version uint64

// Object is one stored value.
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
	// Revision is the value to pass to the next call.
	Revision Version  `json:"revision"`
	Objects  []Object `json:"objects"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

const (
	// InstanceLive is set while the platform believes that the instance runs.
	InstanceLive InstanceState = "live"
	// InstanceLeaving is set once the platform has asked the instance to stop.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an element of the platform's list, which lags behind the truth.
type Instance struct {
	ID            string        `json:"id"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	State         InstanceState `json:"state"`
}

// ErrNotFound says that the object does not exist.
var ErrNotFound = errors.New("object not found")

// ErrUnavailable says that the platform did not answer. A write may have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// ConflictError says that a conditional write found another version. The write had no effect.
type ConflictError struct {
	Kind, Name       string
	Expected, Actual Version
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return errors.Errorf("object %s/%s has version %d, expected %d", e.Kind, e.Name, e.Actual, e.Expected).Error()
}
