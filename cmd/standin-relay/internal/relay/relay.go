// Package relay is a TCP relay whose connections fail on demand the way real
// networks fail: they go silent, slow or deaf in one direction, or break.
//
// One control loop owns the mode and the list of connections. Each direction of
// a connection has its own goroutines, which read the connection's flags. A
// direction that has dropped a byte delivers nothing more, because the stream
// after the gap would be wrong; a change of mode does not revive it.
package relay

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/io/control"
)

// Mode is how the relay treats connections.
type Mode string

// Modes.
const (
	Pass      Mode = "pass"      // deliver
	Silent    Mode = "silent"    // connections open at the switch deliver nothing more; new ones work
	SilentAll Mode = "silentAll" // new connections deliver nothing either
	OneWay    Mode = "oneWay"    // answers of the target are dropped, on all connections
	Cut       Mode = "cut"       // open connections are closed, and new ones at once
)

func (mod Mode) known() bool {
	return slices.Contains([]Mode{Pass, Silent, SilentAll, OneWay, Cut}, mod)
}

// Setting is what the control endpoint switches.
type Setting struct {
	Mode        Mode `json:"mode"`
	DelayMillis int  `json:"delayMillis"` // added in each direction
}

// Status describes the relay.
type Status struct {
	Setting
	Connections  int   `json:"connections"`
	DroppedBytes int64 `json:"droppedBytes"`
}

const (
	queueLength = 1024
	dialTimeout = time.Second
)

// state is owned by the control loop.
type state struct {
	setting Setting
	links   []*link
}

// Relay forwards connections to one target.
type Relay struct {
	target  string
	loop    *control.Loop[state]
	dropped atomic.Int64
}

// New returns a relay that passes everything on to the target.
func New(target string) *Relay {
	sta := &state{setting: Setting{Mode: Pass}}
	return &Relay{target: target, loop: control.NewLoop(sta, queueLength, nil)}
}

// Serve accepts connections until the context ends, then closes them.
func (rly *Relay) Serve(ctx context.Context, lsn net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go rly.loop.Run(ctx)
	stop := context.AfterFunc(ctx, func() { _ = lsn.Close() })
	defer stop()
	for {
		con, err := lsn.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection")
		}
		go rly.connect(ctx, con)
	}
}

// Switch changes the setting and returns the status after it.
func (rly *Relay) Switch(ctx context.Context, set Setting) (Status, error) {
	if !set.Mode.known() {
		return Status{}, errors.Errorf("mode is %q, expected pass, silent, silentAll, oneWay or cut", set.Mode)
	}
	if set.DelayMillis < 0 {
		return Status{}, errors.Errorf("delayMillis is %d, expected at least 0", set.DelayMillis)
	}
	return control.Query(ctx, rly.loop, func(sta *state, _ time.Time) Status {
		sta.setting = set
		for _, lnk := range sta.links {
			lnk.apply(set, true)
		}
		return rly.status(sta)
	})
}

// Status returns the present status.
func (rly *Relay) Status(ctx context.Context) (Status, error) {
	return control.Query(ctx, rly.loop, func(sta *state, _ time.Time) Status { return rly.status(sta) })
}

func (rly *Relay) status(sta *state) Status {
	return Status{Setting: sta.setting, Connections: len(sta.links), DroppedBytes: rly.dropped.Load()}
}

// connect relays one connection until both directions end.
func (rly *Relay) connect(ctx context.Context, client net.Conn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", rly.target)
	if err != nil {
		_ = client.Close()
		return
	}
	lnk := newLink(client, target, &rly.dropped)
	defer lnk.close()
	stop := context.AfterFunc(ctx, lnk.close)
	defer stop()
	_, err = control.Query(ctx, rly.loop, func(sta *state, _ time.Time) struct{} {
		lnk.apply(sta.setting, false)
		sta.links = append(sta.links, lnk)
		return struct{}{}
	})
	if err != nil {
		return
	}
	lnk.run()
	_ = rly.loop.Post(ctx, control.Func[state](func(sta *state, _ time.Time) {
		sta.links = slices.DeleteFunc(sta.links, func(oth *link) bool { return oth == lnk })
	}))
}
