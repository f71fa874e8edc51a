// Package entrynode implements the entry process: the HTTP interface for callers and
// operators and the routing of service requests. It has no persistent state.
package entrynode

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/member"
	"jacinthpost/core/outcome"
	"jacinthpost/core/reqlog"
	"jacinthpost/core/route"
	"jacinthpost/core/shed"
	"jacinthpost/core/ticket"
	"jacinthpost/io/audit"
	"jacinthpost/io/clients"
	"jacinthpost/io/control"
	"jacinthpost/io/entry"
	"jacinthpost/io/groupcommit"
	"jacinthpost/io/message"
	"jacinthpost/io/node"
	"jacinthpost/io/owner"
	"jacinthpost/io/web"
)

// directoryPeriod bounds the delay until a change of the configuration takes effect on routing.
// Until then the agents refuse the requests. Changes of membership take effect at once.
const directoryPeriod = 100 * time.Millisecond

// Entry is the role of an entry process.
type Entry struct {
	node      *node.Node
	requests  *entry.Requests[route.TwoChoices]
	rows      *groupcommit.Committer
	directory control.Snapshot[entry.Directory]
	routing   *control.Loop[routing]
	handler   http.Handler
	callers   atomic.Pointer[callers]
}

// routing is the control state of the entry.
type routing struct {
	builder directoryBuilder
	members *member.View
	head    ticket.Number
	built   bool
}

// New connects the components of an entry.
func New(nod *node.Node) *Entry {
	ent := &Entry{node: nod, rows: groupcommit.New(nod.Table())}
	ent.routing = control.NewLoopOn(nod.Thread(), &routing{}, nil)
	ids := &requestIDs{entry: nod.Settings().Instance(), incarnation: nod.Incarnation()}
	ent.requests = entry.NewRequests[route.TwoChoices](entry.Ports{
		Caller: nod.Pools().Requests(), Rows: ent.rows, Objects: nod.Objects(), Directory: ent.directory.Load, NextID: ids.next,
	})
	nod.Gossip().SetObserver(func([]member.Change) { ent.routing.TryPost(control.Func[routing](ent.rebuild)) })
	jobs := owner.NewClient(nod.Rows(), nod.Pools().Jobs())
	ent.handler = web.NewHandler(web.Ports{
		Requests:      admission{requests: ent.requests, config: nod},
		Jobs:          jobClient{client: jobs, config: nod},
		Overview:      jobs,
		Configuration: nod,
		Fleet:         nod,
		Audit:         audit.NewTrail(nod.Table()),
		Explain:       explainer{node: nod, jobs: jobs},
		Timeout:       ent.timeout,
	})
	return ent
}

// timeout returns the time limit of a request if the caller sets none: that of the service,
// or that of the settings for a service without a ticket.
func (ent *Entry) timeout(name fleet.Service) time.Duration {
	svc, known := ent.node.State().Service(name)
	if !known || svc.Timeout() <= 0 {
		return ent.node.Settings().RequestTimeout()
	}
	return svc.Timeout()
}

// Ready implements node.Role: an entry that knows no other process cannot serve.
func (ent *Entry) Ready() bool {
	return ent.directory.Load() != nil && len(ent.node.Gossip().View().Usable()) > 1
}

// Run implements node.Role.
func (ent *Entry) Run(ctx context.Context) error {
	cls, err := newCallers(ent.node.Settings().CallerAddress(), clients.New("callers", shed.Limits{}, web.Wire(), ent.node.Logger()), ent.handler)
	if err != nil {
		return err
	}
	ent.callers.Store(cls)
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error { return cls.serve(ctx) })
	grp.Go(func() error { ent.rows.Run(ctx); return nil })
	grp.Go(func() error {
		control.Tick(ctx, ent.routing, directoryPeriod, func() control.Event[routing] { return control.Func[routing](ent.rebuild) })
		return nil
	})
	return grp.Wait()
}

// rebuild replaces the directory when membership or configuration has changed.
func (ent *Entry) rebuild(sta *routing, _ time.Time) {
	vie := ent.node.Gossip().View()
	cfg := ent.node.State()
	if sta.built && sta.members == vie && sta.head == cfg.Head() {
		return
	}
	sta.members, sta.head, sta.built = vie, cfg.Head(), true
	ent.directory.Publish(sta.builder.build(ent.node.Settings().Location(), vie.Usable(), cfg))
}

// Stop implements node.Role.
func (ent *Entry) Stop(ctx context.Context) {
	cls := ent.callers.Load()
	if cls == nil {
		return
	}
	if err := cls.stop(ctx); err != nil {
		ent.node.Logger().Warn("requests not drained", zap.Error(err))
	}
	if err := ent.requests.Drain(ctx); err != nil {
		ent.node.Logger().Warn("answers not recorded", zap.Error(err))
	}
}

// admission applies the settings of workspaces before a request is routed.
type admission struct {
	requests web.Requests
	config   web.Configuration
}

// Serve implements web.Requests.
func (adm admission) Serve(ctx context.Context, req entry.Request) entry.Answer {
	if wsp, known := adm.config.State().Workspace(req.Workspace()); known && !wsp.Active() {
		return entry.Refused(outcome.NotRun(outcome.ReasonAdmission, "workspace "+string(req.Workspace())+" is not active"))
	}
	return adm.requests.Serve(ctx, adm.defaults(req))
}

// defaults marks a request idempotent if the ticket of the service declares its path idempotent.
func (adm admission) defaults(req entry.Request) entry.Request {
	svc, known := adm.config.State().Service(req.Service())
	if known && svc.Idempotent(req.Path()) {
		return req.Idempotent()
	}
	return req
}

// jobClient adapts the client of the partition owners to the HTTP interface.
type jobClient struct {
	client *owner.Client
	config web.Configuration
}

// Submit implements web.Jobs.
func (jcl jobClient) Submit(ctx context.Context, spec message.JobSpec) message.JobReply {
	wsp, known := jcl.config.State().Workspace(fleet.Workspace(spec.Workspace))
	if known && !wsp.Active() {
		return message.JobReply{Outcome: outcome.KindNotRun.String(), Reason: string(outcome.ReasonAdmission), Detail: "workspace " + spec.Workspace + " is not active"}
	}
	return jcl.client.Submit(ctx, spec)
}

// Cancel implements web.Jobs.
func (jcl jobClient) Cancel(ctx context.Context, id string) message.JobReply {
	return jcl.client.Cancel(ctx, job.ID(id))
}

// Status implements web.Jobs.
func (jcl jobClient) Status(ctx context.Context, id string) message.JobReply {
	return jcl.client.Status(ctx, job.ID(id))
}

// Retry implements web.Jobs.
func (jcl jobClient) Retry(ctx context.Context, id string) message.JobReply {
	return jcl.client.Retry(ctx, job.ID(id))
}

// requestIDs generates the IDs of the requests of this process.
type requestIDs struct {
	entry       fleet.InstanceID
	incarnation fleet.Incarnation
	counter     atomic.Uint64
}

func (ids *requestIDs) next() string {
	return reqlog.NewID(ids.entry, ids.incarnation, ids.counter.Add(1)).String()
}
