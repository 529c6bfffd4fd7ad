package app

import (
	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/instance/entry"
	"hyssopcroft.example/instance/operator"
)

// connectedBackend holds readiness back until the connections to targets were opened: at 20 a second,
// the first queries of an unconnected instance would miss their deadlines.
type connectedBackend struct {
	*operator.Service
	entry *entry.Service
}

// Ready implements admin.Backend.
func (b connectedBackend) Ready() bool { return b.Service.Ready() && b.entry.Connected() }

// Status implements admin.Backend.
func (b connectedBackend) Status() admin.Status {
	status := b.Service.Status()
	status.Ready = b.Ready()
	return status
}
