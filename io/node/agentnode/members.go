package agentnode

import (
	"slices"
	"sync/atomic"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/member"
	"jacinthpost/core/ticket"
	"jacinthpost/io/owner"
)

// members converts the membership for the owner role. The result is cached until the
// membership changes.
type members struct {
	source func() *member.View
	last   atomic.Pointer[translation]
}

type translation struct {
	source  *member.View
	result  *owner.View
	serving map[fleet.Service]int
}

func newMembers(source func() *member.View) *members { return &members{source: source} }

// view returns the agents that are not dead.
func (mbs *members) view() *owner.View { return mbs.translated().result }

// serving returns the number of alive agents with a co-located endpoint of a service.
func (mbs *members) serving(svc fleet.Service) int { return mbs.translated().serving[svc] }

func (mbs *members) translated() *translation {
	src := mbs.source()
	if tra := mbs.last.Load(); tra != nil && tra.source == src {
		return tra
	}
	list := src.Select(func(mem member.Member) bool {
		return mem.State() != member.StateDead && mem.Profile().Role() == member.RoleAgent
	})
	result := make([]owner.Member, 0, len(list))
	tra := &translation{source: src, serving: make(map[fleet.Service]int)}
	for _, mem := range list {
		result = append(result, translate(mem))
		if svc := mem.Profile().Service(); svc != "" && mem.State() == member.StateAlive {
			tra.serving[svc]++
		}
	}
	tra.result = owner.NewView(result)
	mbs.last.Store(tra)
	return tra
}

var healthOf = map[member.State]job.Health{
	member.StateAlive:   job.Alive,
	member.StateSuspect: job.Suspect,
	member.StateLeaving: job.Leaving,
}

func translate(mem member.Member) owner.Member {
	pro := mem.Profile()
	hol := fleet.NewProcess(mem.Instance(), mem.Version().Incarnation())
	hint := job.NewInstance(hol, pro.Location(), pro.Capacity(), healthOf[mem.State()]).WithService(pro.Service())
	return owner.NewMember(hint, string(pro.PeerAddress()), mem.State() == member.StateAlive)
}

// ownerSettings provides the part of the configuration that the owner role needs.
type ownerSettings struct {
	config Configuration
}

// StartsAllowed implements owner.Settings.
func (ose ownerSettings) StartsAllowed(dc fleet.DataCentre) bool {
	return ose.config.Freshness().MayStartTasks(time.Now()) && !ose.config.State().DataCentreOut(dc)
}

// TakenOut implements owner.Settings.
func (ose ownerSettings) TakenOut() []fleet.DataCentre {
	sta := ose.config.State()
	var out []fleet.DataCentre
	for _, rec := range sta.Records("", sta.Len()) {
		if dc, ok := rec.Object().(ticket.DataCentre); ok && dc.Out() {
			out = append(out, fleet.DataCentre(rec.Key().Name()))
		}
	}
	slices.Sort(out)
	return out
}

// Complete implements owner.Settings. The lease of a class lasts at least as long as the outage of
// the store that the class tolerates.
func (ose ownerSettings) Complete(spc job.Spec) job.Spec {
	sta := ose.config.State()
	if wsp, found := sta.Workspace(spc.Workspace()); found {
		spc = spc.WithWorkspaceTeam(wsp.Team())
	}
	if cls, found := sta.JobClass(spc.Class()); found {
		spc = spc.WithClass(spc.Class(), max(cls.Lease(), cls.ToleratedOutage())).WithRerun(cls.Rerun()).
			WithCheckpoints(cls.Checkpointable()).WithClassSize(cls.Resources())
	}
	return spc
}
