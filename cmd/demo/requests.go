package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
)

const (
	requestLimit = 5 * time.Second
	callers      = 16
)

// load sends numbered requests from several callers and hands each end to the check.
func (dem *demo) load(ctx context.Context, count int, send func(ctx context.Context, num int) error) error {
	grp, ctx := errgroup.WithContext(ctx)
	grp.SetLimit(callers)
	for num := range count {
		grp.Go(func() error { return send(ctx, num) })
	}
	return grp.Wait()
}

// answered checks that an envelope is the whole answer to the body that was sent.
func answered(env harness.Envelope, err error, body string) error {
	switch {
	case err != nil:
		return errors.Wrapf(err, "request %s", body)
	case env.Outcome != "answered":
		return errors.Errorf("request %s: %s %s %s", body, env.Outcome, env.Reason, env.Detail)
	case env.Body.Body != body:
		return errors.Errorf("request %s got the answer to %q", body, env.Body.Body)
	}
	return nil
}

func (dem *demo) serviceRequests(ctx context.Context) (string, error) {
	var mu sync.Mutex
	var took []time.Duration
	served := map[string]int{}
	err := dem.load(ctx, 400, func(ctx context.Context, num int) error {
		body := "check " + strconv.Itoa(num)
		begun := time.Now()
		env, err := dem.fleet.Request(ctx, num%2, body, "", true, requestLimit)
		if err := answered(env, err, body); err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		took = append(took, time.Since(begun))
		served[env.Instance]++
		return nil
	})
	if err != nil {
		return "", err
	}
	slices.Sort(took)
	return fmt.Sprintf("400 answered, median %.1f ms, p99 %.1f ms, by instance %v", millis(took[200]), millis(took[396]), served), nil
}

func millis(dur time.Duration) float64 { return float64(dur.Microseconds()) / 1000 }

// booking sends a keyed request until its outcome is known or the tries are used up.
func (dem *demo) booking(ctx context.Context, ent int, key string) (harness.Envelope, error) {
	var env harness.Envelope
	var err error
	for range 10 {
		env, err = dem.fleet.Request(ctx, ent, key, key, false, requestLimit)
		if err == nil && env.Outcome == "answered" {
			return env, nil
		}
		if err := control.Pause(ctx, 100*time.Millisecond); err != nil {
			return env, err
		}
	}
	return env, err
}

func (dem *demo) keyedBookings(ctx context.Context) (string, error) {
	err := dem.load(ctx, 40, func(ctx context.Context, num int) error {
		key := "booking " + strconv.Itoa(num)
		first, err := dem.booking(ctx, 0, key)
		if err := answered(first, err, key); err != nil {
			return err
		}
		second, err := dem.booking(ctx, 1, key)
		if err := answered(second, err, key); err != nil {
			return err
		}
		if first.Body != second.Body {
			return errors.Errorf("%s got two answers: %v and %v", key, first.Body, second.Body)
		}
		return dem.ranOnce(ctx, key)
	})
	return "40 keys sent to both entries, each ran once, both answers the same", err
}

func (dem *demo) ranOnce(ctx context.Context, key string) error {
	runs, err := dem.fleet.Executions(ctx, key)
	if err != nil {
		return err
	}
	if runs != 1 {
		return errors.Errorf("%s ran %d times", key, runs)
	}
	return nil
}

// entryKilled kills the first entry while bookings go through it. Each caller
// asks the other entry again and must learn the truth.
func (dem *demo) entryKilled(ctx context.Context) (string, error) {
	var once sync.Once
	err := dem.load(ctx, 60, func(ctx context.Context, num int) error {
		if num == 30 {
			once.Do(dem.fleet.Entries()[0].Process().Kill)
		}
		key := "killed entry " + strconv.Itoa(num)
		env, err := dem.fleet.Request(ctx, 0, key, key, false, requestLimit)
		if err != nil || env.Outcome != "answered" {
			env, err = dem.booking(ctx, 1, key)
		}
		if err := answered(env, err, key); err != nil {
			return err
		}
		return dem.ranOnce(ctx, key)
	})
	if err != nil {
		return "", err
	}
	if err := dem.fleet.Entries()[0].Process().Restart(); err != nil {
		return "", err
	}
	for !dem.fleet.Complete(ctx, 0) {
		if err := control.Pause(ctx, 50*time.Millisecond); err != nil {
			return "", errors.Wrap(err, "the entry did not return")
		}
	}
	return "60 bookings asked again at the other entry, each ran once; the entry is back", nil
}

// instanceStopped stops an endpoint and then its agent with SIGTERM under load.
// No request may be lost.
func (dem *demo) instanceStopped(ctx context.Context) (string, error) {
	ins := dem.fleet.Instances()[0]
	stopped := make(chan error, 1)
	go func() {
		ok := ins.Endpoint().Terminate(30*time.Second) && ins.Agent().Terminate(30*time.Second)
		if !ok {
			stopped <- errors.New("the instance did not stop cleanly")
			return
		}
		stopped <- nil
	}()
	num := 0
	for done := false; !done; {
		select {
		case err := <-stopped:
			if err != nil {
				return "", err
			}
			done = true
		default:
		}
		base := num
		num += 32
		err := dem.load(ctx, 32, func(ctx context.Context, pos int) error {
			body := "stop " + strconv.Itoa(base+pos)
			env, err := dem.fleet.Request(ctx, pos%2, body, "", false, requestLimit)
			return answered(env, err, body)
		})
		if err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%s left; %d non-idempotent requests meanwhile, all answered", ins.ID(), num), nil
}
