package target

import (
	"net"

	"github.com/pkg/errors"

	"hyssopcroft.example/query"
)

// failureOutcome says what a transport error tells about the request. Only a failure to connect
// proves that the target did not get it.
func failureOutcome(err error) query.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return query.OutcomeNotRun
	}
	return query.OutcomeUnknown
}
