// Package operator does the work of the administration interface: edits of the two lists, status
// and the timeline.
package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/timeline"
)

// Name is the name of the service.
const Name = "operator"

// editAttempts bounds how often an edit is applied again because another edit came first or the
// answer to a write was lost.
const editAttempts = 8

// Service implements admin.Backend. It is safe for concurrent use.
type Service struct {
	instance, failureDomain string

	client   *platform.Client
	config   *configsync.Service
	members  *members.Service
	ring     *timeline.Ring
	counters *counters.Set

	ready []func() bool
}

// New returns a service for one instance.
func New(instance, failureDomain string, client *platform.Client, cfg *configsync.Service, m *members.Service, ring *timeline.Ring, c *counters.Set) *Service {
	return &Service{
		instance: instance, failureDomain: failureDomain,
		client: client, config: cfg, members: m, ring: ring, counters: c,
	}
}

// RequireReady adds a condition for the instance to be ready. It must be called before Start.
func (s *Service) RequireReady(f func() bool) { s.ready = append(s.ready, f) }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{configsync.Name, members.Name} }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Lists returns the lists as they are stored.
func (s *Service) Lists(ctx context.Context) (config.Lists, *problem.Problem) {
	lists, _, err := s.read(ctx)
	if err != nil {
		return config.Lists{}, problemOf(err)
	}
	return lists, nil
}

// PutPlan adds or replaces a plan.
func (s *Service) PutPlan(ctx context.Context, p config.Plan, e admin.Edit) (admin.Accepted, *problem.Problem) {
	return s.edit(ctx, e, func(l config.Lists, e config.Edit) (config.Lists, error) { return l.PutPlan(p, e) })
}

// DeletePlan removes a plan and its limit.
func (s *Service) DeletePlan(ctx context.Context, name string, e admin.Edit) (admin.Accepted, *problem.Problem) {
	return s.edit(ctx, e, func(l config.Lists, e config.Edit) (config.Lists, error) { return l.DeletePlan(name, e) })
}

// PutLimit adds or replaces the limit of a plan.
func (s *Service) PutLimit(ctx context.Context, limit config.Limit, e admin.Edit) (admin.Accepted, *problem.Problem) {
	return s.edit(ctx, e, func(l config.Lists, e config.Edit) (config.Lists, error) { return l.PutLimit(limit, e) })
}

// DeleteLimit removes the limit of a plan.
func (s *Service) DeleteLimit(ctx context.Context, plan string, e admin.Edit) (admin.Accepted, *problem.Problem) {
	return s.edit(ctx, e, func(l config.Lists, e config.Edit) (config.Lists, error) { return l.DeleteLimit(plan, e) })
}

type change func(config.Lists, config.Edit) (config.Lists, error)

// edit applies a change to the newest lists and writes them conditionally. After a lost answer or
// a lost race it reads the lists again; an edit that took effect is found there by its id.
func (s *Service) edit(ctx context.Context, e admin.Edit, apply change) (admin.Accepted, *problem.Problem) {
	var last error
	for range editAttempts {
		lists, version, err := s.read(ctx)
		if err != nil {
			last = err
			continue
		}
		next, err := apply(lists, config.Edit{ID: e.ID, Expected: e.Expected})
		if err != nil {
			return admin.Accepted{}, problemOf(err)
		}
		if next.Sequence == lists.Sequence {
			return s.accept(next, e), nil
		}
		if last = s.write(ctx, next, version); last == nil {
			return s.accept(next, e), nil
		}
		s.counters.Counter("edit_writes_repeated").Add(1)
	}
	return admin.Accepted{}, problemOf(last)
}

func (s *Service) accept(lists config.Lists, e admin.Edit) admin.Accepted {
	s.counters.Counter("edits_accepted").Add(1)
	s.config.Offer(lists)
	return admin.Accepted{Revision: lists.Sequence, Edit: e.ID}
}

func (s *Service) read(ctx context.Context) (config.Lists, platform.Version, error) {
	obj, err := s.client.Get(ctx, "edit_read", configsync.KindConfig, configsync.NameCurrent)
	if errors.Is(err, platform.ErrNotFound) {
		return config.Lists{}, 0, nil
	}
	if err != nil {
		return config.Lists{}, 0, err
	}
	var lists config.Lists
	err = json.Unmarshal(obj.Data, &lists)
	return lists, obj.Version, errors.Wrap(err, "decode configuration")
}

func (s *Service) write(ctx context.Context, lists config.Lists, expected platform.Version) error {
	data, err := json.Marshal(lists)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	obj := platform.Object{Kind: configsync.KindConfig, Name: configsync.NameCurrent, Data: data}
	_, err = s.client.Put(ctx, "edit_write", obj, expected, 0)
	return err
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
	return &problem.Problem{
		Status: http.StatusServiceUnavailable, Code: problem.PlatformUnavailable, Message: err.Error(),
		Run: problem.MayHaveRun,
	}
}

// Status returns the state of this instance.
func (s *Service) Status() admin.Status {
	lists, _ := s.config.InForce()
	status := admin.Status{
		Instance: s.instance, FailureDomain: s.failureDomain, Ready: s.Ready(), ConfigSequence: lists.Sequence,
	}
	for _, m := range s.members.Members() {
		status.Members = append(status.Members, admin.MemberStatus{
			ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, State: m.State.String(),
			ConfigSequence: config.Revision(m.ConfigSequence),
		})
	}
	return status
}

// Ready reports whether the instance should be sent requests.
func (s *Service) Ready() bool {
	for _, ready := range s.ready {
		if !ready() {
			return false
		}
	}
	_, known := s.config.InForce()
	return known && !s.members.Leaving()
}

// Timeline returns the latest events of this instance.
func (s *Service) Timeline() []timeline.Event { return s.ring.Events() }
