package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/outcome"
	"jacinthpost/io/control"
	"jacinthpost/io/joblog"
	"jacinthpost/io/message"
	"jacinthpost/io/peer"
)

// Time-outs and retry pause of the client.
const (
	clientTimeout     = 10 * time.Second // a takeover takes up to 9 s
	clientRetryPause  = 250 * time.Millisecond
	clientCallTimeout = 3 * time.Second
)

// Client finds the owner of a job's partition and calls it. Submissions and
// cancellations are idempotent, so it repeats a call that failed. It is safe for
// use from any goroutine.
type Client struct {
	rows    *joblog.Rows
	caller  Caller
	mu      sync.Mutex
	owners  map[int]string
	reports atomic.Uint64 // sequence number of the last use report
}

// NewClient returns a client that finds owners through the rows of a deployment.
func NewClient(rws *joblog.Rows, cal Caller) *Client {
	return &Client{rows: rws, caller: cal, owners: make(map[int]string)}
}

// Partitions returns the number of partitions.
func (cli *Client) Partitions() int { return cli.rows.Count() }

// Submit submits a job to the owner of its partition.
func (cli *Client) Submit(ctx context.Context, spc message.JobSpec) message.JobReply {
	id := job.NewID(fleet.Workspace(spc.Workspace), spc.Key)
	num := job.PartitionOf(id, cli.rows.Count())
	return cli.call(ctx, num, "Owner.Submit", message.SubmitArgs{Partition: num, JobID: string(id), Spec: spc})
}

// Cancel cancels a job.
func (cli *Client) Cancel(ctx context.Context, id job.ID) message.JobReply {
	num := job.PartitionOf(id, cli.rows.Count())
	return cli.call(ctx, num, "Owner.Cancel", message.JobRefArgs{Partition: num, JobID: string(id)})
}

// Retry returns the parked tasks of a job to the queue.
func (cli *Client) Retry(ctx context.Context, id job.ID) message.JobReply {
	num := job.PartitionOf(id, cli.rows.Count())
	return cli.call(ctx, num, "Owner.Retry", message.JobRefArgs{Partition: num, JobID: string(id)})
}

// Status returns the state of a job.
func (cli *Client) Status(ctx context.Context, id job.ID) message.JobReply {
	num := job.PartitionOf(id, cli.rows.Count())
	return cli.call(ctx, num, "Owner.Status", message.JobRefArgs{Partition: num, JobID: string(id)})
}

// call returns the owner's reply. Without one, the outcome is unknown if a call
// may have reached an owner, and not run otherwise.
func (cli *Client) call(ctx context.Context, num int, method string, args any) message.JobReply {
	rep, sent, err := route(ctx, cli, num, method, args, func(rep *message.JobReply) (bool, string) {
		return rep.NotOwner, rep.OwnerAddress
	})
	switch {
	case err == nil:
		return rep
	case sent:
		return message.JobReply{Outcome: outcome.KindUnknown.String(), Reason: string(outcome.ReasonTimeout), Detail: err.Error()}
	default:
		return refusal(outcome.ReasonStoreUnavailable, err.Error())
	}
}

// route calls the owner of a partition until it gets an owner's reply, the context
// ends or clientTimeout has passed. The boolean result reports whether a call without
// a reply may have reached an owner. The function moved returns whether a reply comes
// from a process that is not the owner, and the owner's address if it is known.
func route[R any](ctx context.Context, cli *Client, num int, method string, args any, moved func(*R) (bool, string)) (R, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	var zero R
	sent := false
	last := errors.New("the partition has no owner")
	for try := 0; try == 0 || control.Pause(ctx, clientRetryPause) == nil; try++ {
		addr, err := cli.owner(ctx, num)
		if err != nil || addr == "" {
			last = firstError(err, last)
			continue
		}
		limited, cancel := context.WithTimeout(ctx, clientCallTimeout)
		rep := new(R)
		err = cli.caller.Call(limited, addr, method, args, rep)
		cancel()
		if err != nil {
			sent = sent || !errors.Is(err, peer.ErrNotSent)
			last = err
			cli.cacheOwner(num, "")
			continue
		}
		away, owner := moved(rep)
		if !away {
			return *rep, sent, nil
		}
		if owner == addr {
			owner = ""
		}
		cli.cacheOwner(num, owner)
	}
	return zero, sent, errors.Wrapf(last, "partition %d", num)
}

func firstError(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

// owner returns the address of the owner from the cache or from the row.
func (cli *Client) owner(ctx context.Context, num int) (string, error) {
	cli.mu.Lock()
	addr := cli.owners[num]
	cli.mu.Unlock()
	if addr != "" {
		return addr, nil
	}
	list, err := cli.rows.Read(ctx, num)
	if err != nil {
		return "", err
	}
	row := list[0].Row()
	if row.Released() {
		return "", nil
	}
	cli.cacheOwner(num, row.Owner().Address())
	return row.Owner().Address(), nil
}

// cacheOwner caches the address of an owner; an empty one makes the next call read the row.
func (cli *Client) cacheOwner(num int, addr string) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	cli.owners[num] = addr
}
