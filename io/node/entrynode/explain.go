package entrynode

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/member"
	"jacinthpost/core/outcome"
	"jacinthpost/core/ticket"
	"jacinthpost/io/message"
	"jacinthpost/io/node"
	"jacinthpost/io/owner"
)

const explainTimeout = 2 * time.Second

// explainer collects explanations from the processes that made the decisions.
type explainer struct {
	node *node.Node
	jobs *owner.Client
}

// Job implements web.Explain.
func (exp explainer) Job(ctx context.Context, id string) ([]string, bool) {
	rep := exp.jobs.Status(ctx, job.ID(id))
	if rep.Outcome != outcome.KindAnswered.String() {
		return []string{rep.Outcome + ": " + rep.Reason + " " + rep.Detail}, rep.Reason != string(job.ReasonNoJob)
	}
	sta := rep.Status
	lines := []string{fmt.Sprintf("job %s of workspace %s, class %s, kind %s, partition %d: %s %s",
		sta.JobID, sta.Spec.Workspace, sta.Spec.Class, sta.Spec.Kind, job.PartitionOf(job.ID(id), exp.jobs.Partitions()), sta.State, sta.Reason)}
	for _, tsk := range sta.Tasks {
		lines = append(lines, fmt.Sprintf("task %d: %s on %q, token %d.%d, %d attempts, %d evictions, progress %d%%, %s",
			tsk.Index, tsk.State, tsk.Instance, tsk.Token.Epoch, tsk.Token.Sequence, tsk.Attempts, tsk.Evictions, tsk.Progress, tsk.Detail))
	}
	return append(lines, rep.Explain...), true
}

// Instance implements web.Explain.
func (exp explainer) Instance(ctx context.Context, name string) ([]string, bool) {
	mem, known := exp.node.View().Member(fleet.InstanceID(name))
	if !known {
		return nil, false
	}
	pro := mem.Profile()
	lines := []string{fmt.Sprintf("%s %s is %s in the membership of %s", pro.Role(), name, mem.State(), exp.node.Settings().Instance())}
	if pro.Role() != member.RoleAgent {
		return lines, true
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	var rep message.ExplainReply
	if err := exp.node.Pools().Jobs().Call(ctx, string(pro.PeerAddress()), "Agent.Explain", message.ExplainArgs{}, &rep); err != nil {
		return append(lines, "the agent does not answer: "+err.Error()), true
	}
	return append(lines, rep.Lines...), true
}

// Ticket implements web.Explain.
func (exp explainer) Ticket(ctx context.Context, name string) ([]string, bool) {
	num, err := strconv.ParseUint(name, 10, 63)
	if err != nil {
		return nil, false
	}
	head := exp.node.State().Head()
	if ticket.Number(num) > head || num == 0 {
		return []string{fmt.Sprintf("ticket %d is not accepted; the head is %d", num, head)}, true
	}
	lines := []string{fmt.Sprintf("ticket %d is accepted; the head is %d", num, head)}
	if tic, kept := exp.node.State().AcceptedTicket(ticket.Number(num)); kept {
		lines = append(lines, fmt.Sprintf("filed by %s: %s", tic.Author(), tic.Reason()))
		for _, chg := range tic.Changes() {
			_, ver := exp.node.State().Object(chg.Key())
			lines = append(lines, fmt.Sprintf("sets %s, whose present version is %d", chg.Key(), ver))
		}
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	seen := map[string]uint64{}
	for _, see := range exp.node.Config().CollectHeads(ctx) {
		seen[see.Instance] = see.Head
	}
	for _, mem := range exp.node.View().Usable() {
		lines = append(lines, inForce(string(mem.Instance()), seen, num))
	}
	return lines, true
}

func inForce(instance string, seen map[string]uint64, num uint64) string {
	head, known := seen[instance]
	switch {
	case !known:
		return instance + ": has not confirmed a head lately"
	case head >= num:
		return fmt.Sprintf("%s: in force (head %d)", instance, head)
	default:
		return fmt.Sprintf("%s: not yet in force (head %d)", instance, head)
	}
}
