package operator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/kernel"
)

const (
	// editTimeout bounds one edit. It is shorter than the time that hyssopctl waits for an answer.
	editTimeout = 8 * time.Second
	// minPause and maxPause bound the base pause between the attempts of an edit. The base doubles with each
	// retry; the pause itself is between half and one and a half times the base.
	minPause = 10 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// edit applies a change to the newest lists and writes them conditionally. After a write without an answer
// or a version conflict it reads the lists again, where an edit that took effect is recognised by its id.
func (s *Service) edit(ctx context.Context, e admin.Edit, c trace.Change) (admin.EditResult, *problem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	inForce, _ := s.config.InForce()
	op := trace.NewOperation(config.Edit{ID: e.ID, Expected: e.Expected}, inForce.Sequence, c, s.recorder)
	step := config.Step{}
	for pause := minPause; step.Verdict == 0; {
		if step.Write != nil {
			step = op.OnWrite(s.write(ctx, *step.Write, platform.Version(step.Expected)))
		} else {
			step = s.readStep(ctx, op)
		}
		if step.Verdict != 0 || step.Write != nil {
			continue
		}
		s.counters.Counter("edit_steps_repeated").Add(1)
		if !kernel.Sleep(ctx, pause/2+rand.N(pause)) {
			step = op.Abandon(errors.New("the edit did not get through in time"))
		}
		pause = min(2*pause, maxPause)
	}
	return s.finish(step, e)
}

func (s *Service) readStep(ctx context.Context, op *trace.Operation) config.Step {
	lists, version, err := s.read(ctx)
	if err != nil {
		return op.OnReadFailed(err)
	}
	return op.OnRead(lists, uint64(version))
}

func (s *Service) finish(step config.Step, e admin.Edit) (admin.EditResult, *problem.Problem) {
	switch step.Verdict {
	case config.Accepted:
		s.counters.Counter("edits_accepted").Add(1)
		s.config.Apply(step.Lists)
		return admin.EditResult{Revision: step.Revision, Edit: e.ID}, nil
	case config.Unknown:
		s.counters.Counter("edits_unknown").Add(1)
		return admin.EditResult{}, &problem.Problem{
			Status: http.StatusGatewayTimeout, Code: problem.OutcomeUnknown, RunState: problem.MayHaveRun,
			Message: "the edit may have been accepted; repeat it with the same id to find out",
		}
	}
	s.counters.Counter("edits_refused").Add(1)
	p := problemOf(step.Err)
	p.RunState = problem.NotRun
	return admin.EditResult{}, p
}

func (s *Service) write(ctx context.Context, lists config.Lists, expected platform.Version) config.WriteOutcome {
	data, err := json.Marshal(lists)
	if err != nil {
		panic(errors.Wrap(err, "encode configuration"))
	}
	obj := platform.Object{Kind: configsync.KindConfig, Name: configsync.NameCurrent, Data: data}
	_, err = s.client.Put(ctx, "edit_write", obj, expected, 0)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return config.Written
	case errors.As(err, &conflict):
		return config.NotWritten
	}
	return config.WriteUnknown
}

func problemOf(err error) *problem.Problem {
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &conflict):
		return &problem.Problem{
			Status: http.StatusConflict, Code: problem.Conflict, Message: err.Error(),
			Expected: uint64(conflict.Expected), Actual: uint64(conflict.Actual),
		}
	case errors.Is(err, config.ErrInvalid):
		return &problem.Problem{Status: http.StatusUnprocessableEntity, Code: problem.Invalid, Message: err.Error()}
	case errors.Is(err, config.ErrNoEntry):
		return &problem.Problem{Status: http.StatusNotFound, Code: problem.NotFound, Message: err.Error()}
	}
	return &problem.Problem{Status: http.StatusServiceUnavailable, Code: problem.PlatformUnavailable, Message: err.Error()}
}
