package agentnode

import (
	"context"
	"fmt"
	"time"

	"jacinthpost/io/message"
)

// explainTimeout bounds the wait for the control goroutines.
const explainTimeout = time.Second

// explainer describes the instance to operators.
type explainer struct {
	agent *Agent
}

// Explain describes what the agent accepts and refuses, and why. It is a method of net/rpc.
func (exp *explainer) Explain(_ message.ExplainArgs, rep *message.ExplainReply) error {
	now := time.Now()
	agt := exp.agent
	set := agt.node.Settings()
	vie := agt.state.View()
	loc := set.Location()
	add := func(format string, args ...any) { rep.Lines = append(rep.Lines, fmt.Sprintf(format, args...)) }
	add("instance %s, incarnation %d, region %s, data centre %s, rack %s", set.Instance(), agt.node.Incarnation(), loc.Region(), loc.DataCentre(), loc.Rack())
	add("configuration: head %d, %s", agt.node.State().Head(), exp.freshness(now))
	add("process: %s; worker known: %t", agt.node.Health().State(), vie.Ready())
	add("capacity %s; reserved for requests %s; free for tasks %s", vie.Capacity().Total(), vie.Capacity().RequestReserve(), vie.Free())
	add("requests: %d running of %d slots, %d queued", vie.Requests(), vie.Capacity().Slots(), vie.Queued())
	sit := site{instance: set.Instance(), location: loc, config: agt.node}
	if out, ok := sit.StartsAllowed(now); !ok {
		add("no task starts: %s (%s)", out.Detail(), out.Reason())
	}
	if out, ok := sit.RequestsAllowed(vie.Endpoint().Last().Service(), now); !ok {
		add("no request is admitted: %s (%s)", out.Detail(), out.Reason())
	}
	if out, ok := vie.Endpoint().Admits(vie.Endpoint().Last().Service(), now); !ok {
		add("endpoint: %s (%s)", out.Detail(), out.Reason())
	} else {
		add("endpoint of service %s at %s is present", vie.Endpoint().Last().Service(), vie.Endpoint().Last().Address())
	}
	for _, tsk := range vie.Tasks() {
		add("task %s/%d token %d.%d: %v, class %s, %s, progress %d%%", tsk.Ref().Job(), tsk.Ref().Index(),
			tsk.Ref().Token().Epoch(), tsk.Ref().Token().Sequence(), tsk.Phase(), tsk.Class(), tsk.Resources(), tsk.Progress())
	}
	ctx, cancel := context.WithTimeout(agt.life, explainTimeout)
	defer cancel()
	if lines, err := agt.guard.Lines(ctx); err == nil {
		rep.Lines = append(rep.Lines, lines...)
	}
	rep.Lines = append(rep.Lines, agt.owner.explain(ctx, set.Instance())...)
	return nil
}

func (exp *explainer) freshness(now time.Time) string {
	fre := exp.agent.node.Freshness()
	age, known := fre.Age(now)
	switch {
	case !known:
		return "never confirmed"
	case fre.StoreDown(now):
		return fmt.Sprintf("confirmed %s ago, readers report that the store is down", age.Round(time.Millisecond))
	default:
		return fmt.Sprintf("confirmed %s ago", age.Round(time.Millisecond))
	}
}
