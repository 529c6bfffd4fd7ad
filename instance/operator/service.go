// Package operator implements the backend of the administration interface: edits of the two lists, status
// and the timeline.
package operator

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/adapter/wire/tracepb"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/timeline"
)

// Name identifies the service in the dependencies of others.
const Name = "operator"

// Service implements admin.Backend. It is safe for concurrent use.
type Service struct {
	instance, failureDomain string

	client   *platform.Client
	config   *configsync.Service
	members  *members.Service
	ring     *timeline.Ring
	counters *counters.Set
	recorder *trace.Recorder // nil if nothing is recorded

	readinessChecks []func() bool
}

// New returns a service for one instance.
func New(instance, failureDomain string, client *platform.Client, cfg *configsync.Service, m *members.Service, ring *timeline.Ring, c *counters.Set) *Service {
	return &Service{
		instance: instance, failureDomain: failureDomain,
		client: client, config: cfg, members: m, ring: ring, counters: c,
	}
}

// UseRecorder sets the recorder of edits. It must be called before Start.
func (s *Service) UseRecorder(r *trace.Recorder) { s.recorder = r }

// AddReadinessCheck adds a condition for the instance to be ready. It must be called before Start.
func (s *Service) AddReadinessCheck(f func() bool) { s.readinessChecks = append(s.readinessChecks, f) }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{configsync.Name, members.Name} }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Lists reads the stored lists.
func (s *Service) Lists(ctx context.Context) (config.Lists, *problem.Problem) {
	lists, _, err := s.read(ctx)
	if err != nil {
		return config.Lists{}, problemOf(err)
	}
	return lists, nil
}

// PutPlan adds or replaces a plan.
func (s *Service) PutPlan(ctx context.Context, p config.Plan, e admin.Edit) (admin.EditResult, *problem.Problem) {
	return s.edit(ctx, e, trace.Change{Kind: tracepb.ChangeKind_CHANGE_KIND_PUT_PLAN, Plan: p})
}

// DeletePlan removes a plan and its limit.
func (s *Service) DeletePlan(ctx context.Context, name string, e admin.Edit) (admin.EditResult, *problem.Problem) {
	return s.edit(ctx, e, trace.Change{Kind: tracepb.ChangeKind_CHANGE_KIND_DELETE_PLAN, Name: name})
}

// PutLimit adds or replaces the limit of a plan.
func (s *Service) PutLimit(ctx context.Context, limit config.Limit, e admin.Edit) (admin.EditResult, *problem.Problem) {
	return s.edit(ctx, e, trace.Change{Kind: tracepb.ChangeKind_CHANGE_KIND_PUT_LIMIT, Limit: limit})
}

// DeleteLimit removes the limit of a plan.
func (s *Service) DeleteLimit(ctx context.Context, plan string, e admin.Edit) (admin.EditResult, *problem.Problem) {
	return s.edit(ctx, e, trace.Change{Kind: tracepb.ChangeKind_CHANGE_KIND_DELETE_LIMIT, Name: plan})
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

// Status returns the state of this instance.
func (s *Service) Status() admin.Status {
	lists, _ := s.config.InForce()
	status := admin.Status{
		Instance: s.instance, FailureDomain: s.failureDomain, Ready: s.Ready(), ConfigSequence: lists.Sequence,
		Watching: s.config.Watching(),
	}
	if since, unconfirmed := s.config.Unconfirmed(); unconfirmed {
		status.UnconfirmedSince = &since
	}
	for _, m := range s.members.Members() {
		status.Members = append(status.Members, admin.MemberStatus{
			ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, State: m.State.String(),
			ConfigSequence: config.Revision(m.ConfigSequence),
		})
	}
	return status
}

// Ready reports whether the instance should receive requests: all readiness checks pass and it is not leaving.
func (s *Service) Ready() bool {
	for _, ready := range s.readinessChecks {
		if !ready() {
			return false
		}
	}
	return s.config.Ready() && !s.members.Leaving()
}

// Timeline returns the latest events of this instance.
func (s *Service) Timeline() []timeline.Event { return s.ring.Events() }
