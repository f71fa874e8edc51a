// Package worker is the HTTP client for the worker on the same instance.
//
// The error worker.ErrUnavailable of core/worker means that the worker did not receive the call or
// refused it, worker.ErrUncertain that the call may have taken effect. Every call may be repeated:
// tokens make calls idempotent. A Client may be used from any goroutine.
package worker

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"jacinthpost/core/worker"
	"jacinthpost/io/httpcall"
	"jacinthpost/io/worker/workerapi"
)

var writes, reads = httpcall.Classifiers(worker.ErrUnavailable, worker.ErrUncertain)

// Client implements worker.Worker of core/worker over HTTP.
type Client struct {
	call *httpcall.Client
}

var _ worker.Worker = (*Client)(nil)

// New returns a client for the worker at addr, a host:port.
func New(addr string, opts ...httpcall.Option) *Client {
	return &Client{call: httpcall.New(addr, "worker", opts...)}
}

// State implements worker.Worker.
func (cli *Client) State(ctx context.Context) (worker.Report, error) {
	var rep workerapi.StateReply
	ans, err := cli.call.Call(ctx, httpcall.NewRequest(http.MethodGet, workerapi.StatePath, nil))
	if err := reads.Decode("worker state", ans, err, &rep); err != nil {
		return worker.Report{}, err
	}
	return rep.Core(), nil
}

// Start implements worker.Worker.
func (cli *Client) Start(ctx context.Context, ord worker.StartOrder) (worker.StartResult, error) {
	rep, err := post[workerapi.StartReply](ctx, cli, workerapi.StartPath, workerapi.NewStartRequest(ord))
	switch {
	case err != nil:
		return worker.StartResult{}, err
	case rep.Started:
		return worker.Started(), nil
	case rep.Refusal == "":
		return worker.StartResult{}, errors.Wrap(worker.ErrUncertain, "start reply is neither started nor has a refusal")
	default:
		return worker.Refused(worker.Refusal(rep.Refusal), rep.Detail), nil
	}
}

// Renew implements worker.Worker.
func (cli *Client) Renew(ctx context.Context, leases []worker.Lease) ([]worker.Ref, error) {
	rep, err := post[workerapi.RenewReply](ctx, cli, workerapi.RenewPath, workerapi.NewRenewRequest(leases))
	if err != nil {
		return nil, err
	}
	return rep.Core(), nil
}

// Stop implements worker.Worker.
func (cli *Client) Stop(ctx context.Context, ref worker.Ref, checkpoint bool) (worker.TaskReport, error) {
	req := workerapi.StopRequest{Ref: workerapi.NewRef(ref), WithCheckpoint: checkpoint}
	msg, err := post[workerapi.TaskReport](ctx, cli, workerapi.StopPath, req)
	if err != nil {
		return worker.TaskReport{}, err
	}
	rep := msg.Core()
	if rep.Ref() != ref || !rep.State().Ended() {
		return worker.TaskReport{}, errors.Wrapf(worker.ErrUncertain, "stop reply has state %q, want the ended state of the same assignment", rep.State())
	}
	return rep, nil
}

// Throttle implements worker.Worker.
func (cli *Client) Throttle(ctx context.Context, ref worker.Ref, percent int) error {
	req := workerapi.ThrottleRequest{Ref: workerapi.NewRef(ref), Percent: percent}
	_, err := post[struct{}](ctx, cli, workerapi.ThrottlePath, req)
	return err
}

// Forget implements worker.Worker.
func (cli *Client) Forget(ctx context.Context, ref worker.Ref) error {
	_, err := post[struct{}](ctx, cli, workerapi.ForgetPath, workerapi.ForgetRequest{Ref: workerapi.NewRef(ref)})
	return err
}

// Close closes the idle connections.
func (cli *Client) Close() { cli.call.Close() }

// post sends req as JSON and decodes the reply.
func post[R any](ctx context.Context, cli *Client, path string, req any) (R, error) {
	var rep R
	body, err := json.Marshal(req)
	if err != nil {
		return rep, errors.Wrap(err, "encode request")
	}
	ans, err := cli.call.Call(ctx, httpcall.NewRequest(http.MethodPost, path, body).WithHeader("Content-Type", "application/json"))
	err = writes.Decode("worker "+path, ans, err, &rep)
	return rep, err
}
