// Package gossip connects the membership protocol of core/member to UDP and to
// the seed rows of the table.
//
// The state machine runs only in functions passed to the executor, the control
// goroutine of the process. One goroutine decodes incoming datagrams and one
// encodes and sends; both use bounded queues, and a datagram that finds its queue
// full is counted and dropped. View may be called from any goroutine.
//
// Limits: datagrams are not authenticated, so the network must be trusted.
// Without the table and without seeds in the settings a process discovers no
// members, but members that know its address can contact it.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/member"
	"jacinthpost/core/store"
	"jacinthpost/io/control"
)

const (
	sendQueue     = 1024 // datagrams
	receiveErrors = 16   // failed receptions in a row that end Run
)

// Settings identify a process in the membership.
type Settings struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
	profile     member.Profile
	seeds       []member.Address
}

// NewSettings returns the settings of a process. The seeds are tried in addition to those in the table.
func NewSettings(id fleet.InstanceID, inc fleet.Incarnation, pro member.Profile, seeds ...member.Address) Settings {
	return Settings{instance: id, incarnation: inc, profile: pro, seeds: seeds}
}

// Gossip is the membership of one process.
type Gossip struct {
	settings Settings
	machine  *member.Machine
	conn     net.PacketConn
	exec     control.Executor
	rows     *seedRows
	view     control.Snapshot[member.View]
	observer func(changes []member.Change)
	sending  chan member.Envelope
	spread   chan struct{} // closed once enough members were told of the leave
	once     sync.Once
	alarm    *control.Alarm[Gossip] // for the next tick
}

// New returns the membership of a process that receives on the connection, which Run closes.
func New(set Settings, con net.PacketConn, tab store.Table, exec control.Executor) (*Gossip, error) {
	if set.instance == "" || !validText(string(set.instance)) {
		return nil, errors.Errorf("instance %.32q is empty, too long or needs an escape", string(set.instance))
	}
	if err := checkProfile(set.profile); err != nil {
		return nil, errors.Wrap(err, "check own profile")
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), uint64(set.incarnation)))
	mac := member.New(set.instance, set.incarnation, set.profile, random)
	mac.SetSeeds(set.seeds)
	gos := &Gossip{settings: set, machine: mac, conn: con, exec: exec, sending: make(chan member.Envelope, sendQueue),
		spread: make(chan struct{}), rows: newSeedRows(tab, set)}
	gos.alarm = control.NewAlarm(poster{gos}, func(gos *Gossip, now time.Time) { gos.tick(now) })
	vie := mac.View()
	gos.view.Publish(&vie)
	return gos, nil
}

// SetObserver sets a function that is called on the control goroutine after
// changes were published. It must be called before Run.
func (gos *Gossip) SetObserver(obs func(changes []member.Change)) { gos.observer = obs }

// View returns the latest published membership view, never nil.
func (gos *Gossip) View() *member.View { return gos.view.Load() }

// SetHead sets the configuration head that datagrams carry.
func (gos *Gossip) SetHead(head uint64) {
	gos.exec.TryExecute(func(time.Time) { gos.machine.SetHead(head) })
}

// SetProfile replaces the description of this process and its seed row.
func (gos *Gossip) SetProfile(ctx context.Context, pro member.Profile) error {
	if err := checkProfile(pro); err != nil {
		return errors.Wrap(err, "check own profile")
	}
	gos.rows.set(pro)
	return gos.exec.Execute(ctx, func(time.Time) {
		gos.machine.SetProfile(pro)
		gos.flush()
	})
}

// Run takes part in the membership until the context ends.
func (gos *Gossip) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = gos.conn.Close() })
	defer stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { gos.send(ctx) })
	if err := gos.exec.Execute(ctx, gos.arm); err != nil {
		return errors.Wrap(err, "start the membership timer")
	}
	defer gos.alarm.Stop()
	tasks.Go(func() { gos.rows.run(ctx, gos.isolated, gos.addSeeds) })
	return gos.receive(ctx)
}

// tick advances the state machine to the present and arms the next tick.
func (gos *Gossip) tick(now time.Time) {
	gos.machine.Tick(now)
	gos.flush()
	gos.arm(now)
}

// arm schedules the next tick for the machine's next deadline.
func (gos *Gossip) arm(now time.Time) { gos.alarm.Arm(now, gos.machine.NextTick(now)) }

// poster queues events of the alarm on the control goroutine.
type poster struct{ gos *Gossip }

// TryPost implements control.Poster.
func (pst poster) TryPost(evt control.Event[Gossip]) bool {
	return pst.gos.exec.TryExecute(func(now time.Time) { evt.Apply(pst.gos, now) })
}

// receive decodes datagrams until the connection closes.
func (gos *Gossip) receive(ctx context.Context) error {
	failures := 0
	buf := make([]byte, member.MaxDatagram+1) // one byte more, so that Decode detects a longer datagram
	for {
		num, src, err := gos.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if failures++; failures >= receiveErrors {
				return errors.Wrap(err, "receive datagrams")
			}
			continue // for example an ICMP error caused by an earlier datagram
		}
		failures = 0
		msg, err := Decode(buf[:num])
		if err != nil {
			dropped("malformed").Inc()
			continue
		}
		gos.count("received", msg, gos.regionOf(msg.Sender().Instance()), num)
		from := addressOf(src)
		if !gos.exec.TryExecute(func(now time.Time) {
			gos.machine.Receive(now, from, msg)
			gos.flush()
			gos.arm(now)
		}) {
			dropped("queueFull").Inc()
		}
	}
}

func addressOf(src net.Addr) member.Address {
	adr, err := netip.ParseAddrPort(src.String())
	if err != nil {
		return member.Address(src.String())
	}
	return member.Address(netip.AddrPortFrom(adr.Addr().Unmap(), adr.Port()).String())
}

// flush queues the outgoing messages of the machine and publishes a new view if one is due.
func (gos *Gossip) flush() {
	outgoing, changes := gos.machine.Drain()
	for _, env := range outgoing {
		select {
		case gos.sending <- env:
		default:
			dropped("sendQueueFull").Inc()
		}
	}
	if gos.machine.LeaveSent() {
		gos.once.Do(func() { close(gos.spread) })
	}
	if len(changes) == 0 && gos.machine.Self().Version() == gos.View().Self().Version() {
		return
	}
	vie := gos.machine.View()
	gos.view.Publish(&vie)
	if gos.observer != nil {
		gos.observer(changes)
	}
}

// send encodes and sends queued messages.
func (gos *Gossip) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case env := <-gos.sending:
			gos.sendOne(env)
		}
	}
}

func (gos *Gossip) sendOne(env member.Envelope) {
	adr, err := netip.ParseAddrPort(string(env.To()))
	if err != nil {
		dropped("badAddress").Inc()
		return
	}
	raw, err := Encode(env.Message())
	if err != nil {
		dropped("tooLarge").Inc()
		return
	}
	if _, err := gos.conn.WriteTo(raw, net.UDPAddrFromAddrPort(adr)); err != nil {
		dropped("sendFailed").Inc()
		return
	}
	gos.count("sent", env.Message(), env.Region(), len(raw))
}

func (gos *Gossip) regionOf(id fleet.InstanceID) fleet.Region {
	mem, _ := gos.View().Member(id)
	return mem.Profile().Location().Region()
}

// count adds bytes by kind and by whether they cross the link between regions.
func (gos *Gossip) count(direction string, msg member.Message, reg fleet.Region, num int) {
	link := "other"
	switch reg {
	case "":
		link = "unknown"
	case gos.settings.profile.Location().Region():
		link = "own"
	}
	labels := `{kind="` + msg.Kind().String() + `",region="` + link + `"}`
	metrics.GetOrCreateCounter("jacinthpost_gossip_" + direction + "_bytes_total" + labels).Add(num)
	metrics.GetOrCreateCounter("jacinthpost_gossip_" + direction + "_datagrams_total" + labels).Inc()
}

func dropped(cause string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`jacinthpost_gossip_dropped_datagrams_total{cause="` + cause + `"}`)
}

// Leave announces that this process takes no new work, and returns once enough
// members were told or the context ends. The process must keep running meanwhile.
func (gos *Gossip) Leave(ctx context.Context) error {
	err := gos.exec.Execute(ctx, func(now time.Time) {
		gos.machine.Leave(now)
		gos.flush()
	})
	if err != nil {
		return errors.Wrap(err, "start leave")
	}
	gos.rows.leave(ctx)
	select {
	case <-gos.spread:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for leave to spread")
	}
}

// isolated reports whether this process knows no other live member.
func (gos *Gossip) isolated() bool { return len(gos.View().Usable()) <= 1 }

func (gos *Gossip) addSeeds(seeds []member.Address) {
	all := append(append([]member.Address{}, gos.settings.seeds...), seeds...)
	gos.exec.TryExecute(func(time.Time) { gos.machine.SetSeeds(all) })
}
