// Package node composes the parts that entry and agent processes have in common: the
// control thread, calls between processes, membership, configuration, the
// platform's store, metrics and health.
//
// The components of a process run under a context of their own, which outlives
// the signal to stop: Run first stops the role gracefully and only then cancels that context.
package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthpost/core/fleet"
	"jacinthpost/core/member"
	"jacinthpost/core/store"
	"jacinthpost/core/ticket"
	"jacinthpost/io/audit"
	"jacinthpost/io/clients"
	"jacinthpost/io/config"
	"jacinthpost/io/control"
	"jacinthpost/io/gossip"
	"jacinthpost/io/httpcall"
	"jacinthpost/io/joblog"
	"jacinthpost/io/object"
	"jacinthpost/io/peer"
	"jacinthpost/io/settings"
	"jacinthpost/io/table"
	"jacinthpost/io/telemetry"
)

const (
	controlQueue          = 8192 // events
	headPeriod            = 500 * time.Millisecond
	readyPeriod           = 20 * time.Millisecond
	partitionCheckTimeout = time.Second // one read of the number of partitions
	probeHeaderBytes      = 16 << 10
	probeHeaderTimeout    = 5 * time.Second
	probeIdleTimeout      = 2 * time.Minute
)

// ProbeWire returns the limits of single requests of an address that programs of the instance and of the platform call.
func ProbeWire() clients.Wire {
	return clients.NewWire(probeHeaderBytes, probeHeaderTimeout, probeIdleTimeout)
}

// Incarnation returns a number for this process. It is the start time in microseconds, so that
// a later process under the same instance ID has a higher one if the clocks of
// successive hosts differ by less than the time between the processes.
func Incarnation() fleet.Incarnation { return fleet.Incarnation(time.Now().UnixMicro()) }

// Pools are the connections to other processes by kind of traffic.
type Pools struct {
	requests *peer.Pool
	jobs     *peer.Pool
	config   *peer.Pool
}

// NewPools returns pools without connections.
func NewPools() *Pools {
	return &Pools{requests: peer.NewPool("requests"), jobs: peer.NewPool("jobs"), config: peer.NewPool("config")}
}

// Requests returns the connections for service requests.
func (poo *Pools) Requests() *peer.Pool { return poo.requests }

// Jobs returns the connections between owners, agents and entries about jobs.
func (poo *Pools) Jobs() *peer.Pool { return poo.jobs }

// Config returns the connections for the configuration.
func (poo *Pools) Config() *peer.Pool { return poo.config }

func (poo *Pools) close() {
	poo.requests.Close()
	poo.jobs.Close()
	poo.config.Close()
}

// Node is the common part of a process.
type Node struct {
	settings    settings.Settings
	incarnation fleet.Incarnation
	logger      *zap.Logger
	thread      *control.Thread
	pools       *Pools
	server      *peer.Server
	table       store.Table
	objects     store.Objects
	rows        *joblog.Rows
	gossip      *gossip.Gossip
	config      *config.Node
	recorder    *audit.Recorder
	health      telemetry.Health
}

// New opens the sockets of a process and connects its components.
func New(set settings.Settings, inc fleet.Incarnation, thr *control.Thread, poo *Pools, tab store.Table, obj store.Objects) (*Node, error) {
	log, err := telemetry.NewLogger(set.LogLevel())
	if err != nil {
		return nil, errors.Wrap(err, "make logger")
	}
	nod := &Node{
		settings: set, incarnation: inc, thread: thr, pools: poo, server: peer.NewServer(), table: tab, objects: obj,
		rows:     joblog.NewRows(tab, set.Partitions()),
		logger:   log.With(zap.String("instance", string(set.Instance())), zap.String("role", string(set.Role()))),
		recorder: audit.NewRecorder(tab, string(set.Instance()), uint64(inc)),
	}
	if err := nod.openGossip(); err != nil {
		return nil, err
	}
	self := config.NewPeer(set.Instance(), set.PeerAddress(), set.Location(), member.Role(set.Role()))
	poo.Requests().KeepWarm()
	for _, pool := range []*peer.Pool{poo.Requests(), poo.Jobs(), poo.Config()} {
		pool.SetRegions(nod.reach)
		pool.SetSource(set.InstanceAddress())
	}
	nod.config = config.NewNode(self, tab, poo.Config(), config.PeersFrom(nod.gossip.View), thr)
	nod.config.SetFiler(config.NewFiler(tab, nod.recorder, string(set.Instance()), time.Now))
	nod.server.Register(config.ServiceName, nod.config.Service())
	return nod, nil
}

// reach reports whether the process at an address is in another region. The pools call it once per
// connection.
func (nod *Node) reach(addr string) peer.Reach {
	found := nod.gossip.View().Select(func(mem member.Member) bool { return string(mem.Profile().PeerAddress()) == addr })
	switch {
	case len(found) == 0:
		return peer.ReachUnknown
	case found[0].Profile().Location().Region() == nod.settings.Location().Region():
		return peer.ReachOwn
	default:
		return peer.ReachOther
	}
}

// NewThread returns the control thread of a process.
func NewThread() *control.Thread { return control.NewThread(controlQueue) }

// NewTable returns the client of the table service.
func NewTable(set settings.Settings) store.Table {
	return table.New(set.TableAddress(), httpcall.WithSource(set.InstanceAddress()))
}

// NewObjects returns the client of the object store.
func NewObjects(set settings.Settings) store.Objects {
	return object.New(set.ObjectAddress(), httpcall.WithSource(set.InstanceAddress()))
}

func (nod *Node) openGossip() error {
	con, err := net.ListenPacket("udp", nod.settings.GossipListenAddress())
	if err != nil {
		return errors.Wrap(err, "listen for gossip")
	}
	seeds := make([]member.Address, 0, len(nod.settings.Seeds()))
	for _, addr := range nod.settings.Seeds() {
		seeds = append(seeds, member.Address(addr))
	}
	set := gossip.NewSettings(nod.settings.Instance(), nod.incarnation, nod.Profile(), seeds...)
	nod.gossip, err = gossip.New(set, con, nod.table, nod.thread)
	if err != nil {
		_ = con.Close()
		return errors.Wrap(err, "join membership")
	}
	return nil
}

// Profile returns the description of this process without an endpoint.
func (nod *Node) Profile() member.Profile {
	return member.NewProfile(member.Role(nod.settings.Role()), member.Address(nod.settings.PeerAddress()),
		member.Address(nod.settings.GossipAddress()), nod.settings.Location())
}

// Settings returns the settings of the process.
func (nod *Node) Settings() settings.Settings { return nod.settings }

// Incarnation returns the number of the process.
func (nod *Node) Incarnation() fleet.Incarnation { return nod.incarnation }

// Logger returns the logger of the process.
func (nod *Node) Logger() *zap.Logger { return nod.logger }

// Thread returns the control thread.
func (nod *Node) Thread() *control.Thread { return nod.thread }

// Pools returns the connections to other processes.
func (nod *Node) Pools() *Pools { return nod.pools }

// Server returns the server for calls of other processes.
func (nod *Node) Server() *peer.Server { return nod.server }

// Table returns the table service.
func (nod *Node) Table() store.Table { return nod.table }

// Objects returns the object store.
func (nod *Node) Objects() store.Objects { return nod.objects }

// Rows returns the ownership of the job partitions.
func (nod *Node) Rows() *joblog.Rows { return nod.rows }

// Gossip returns the membership.
func (nod *Node) Gossip() *gossip.Gossip { return nod.gossip }

// View returns the members known to this process.
func (nod *Node) View() member.View { return *nod.gossip.View() }

// Config returns the distribution of the configuration.
func (nod *Node) Config() *config.Node { return nod.config }

// State returns the latest known configuration.
func (nod *Node) State() ticket.State { return nod.config.View().State() }

// Freshness returns how recently the configuration was confirmed.
func (nod *Node) Freshness() ticket.Freshness { return nod.config.View().Freshness() }

// File files a ticket.
func (nod *Node) File(ctx context.Context, tic ticket.Ticket) ticket.Outcome {
	out := nod.config.File(ctx, tic)
	if out.Kind() == ticket.OutcomeAccepted {
		nod.logger.Info("ticket accepted", zap.Uint64("number", uint64(tic.Number())), zap.String("author", tic.Author()), zap.String("reason", tic.Reason()))
	}
	return out
}

// Health returns the health of the process.
func (nod *Node) Health() *telemetry.Health { return &nod.health }

// Role is the part of a process that differs between entries and agents.
type Role interface {
	// Ready reports whether the role can do its work.
	Ready() bool
	// Run does the work of the role until the context ends.
	Run(ctx context.Context) error
	// Stop ends the work of the role gracefully within the context.
	Stop(ctx context.Context)
}

// Run runs the process until the context ends, then stops it gracefully.
func (nod *Node) Run(ctx context.Context, rol Role) error {
	if err := nod.checkPartitions(ctx); err != nil {
		return err
	}
	// The control thread outlives the components, because they post events to it until they end.
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	go nod.thread.Run(control)
	life, end := context.WithCancel(control)
	defer end()
	grp, life := errgroup.WithContext(life)
	if err := nod.start(life, grp); err != nil {
		return err
	}
	grp.Go(func() error { return rol.Run(life) })
	grp.Go(func() error { nod.awaitReady(life, rol); return nil })
	grp.Go(func() error { return nod.awaitPartitionCheck(life) })
	select {
	case <-ctx.Done():
		nod.stop(life, rol)
	case <-life.Done():
	}
	end()
	nod.pools.close()
	return grp.Wait()
}

// checkPartitions returns an error if the deployment is known to have another number of
// partitions than the settings. A store that does not answer is no error.
func (nod *Node) checkPartitions(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, partitionCheckTimeout)
	defer cancel()
	var cer *joblog.CountError
	if err := nod.rows.Agree(limited); errors.As(err, &cer) {
		return errors.Wrap(cer, "settings do not fit the deployment")
	}
	return nil
}

// awaitPartitionCheck repeats the check while the store does not answer. Until it has
// answered, requests are served and no call about jobs is made or answered.
func (nod *Node) awaitPartitionCheck(ctx context.Context) error {
	for !nod.rows.Agreed() && control.Pause(ctx, partitionCheckTimeout) == nil {
		if err := nod.checkPartitions(ctx); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady reports the process ready once the configuration is known and the role can work.
func (nod *Node) awaitReady(ctx context.Context, rol Role) {
	tkr := time.NewTicker(readyPeriod)
	defer tkr.Stop()
	for {
		if _, known := nod.Freshness().Age(time.Now()); known && rol.Ready() {
			nod.health.SetReady()
			nod.logger.Info("process ready", zap.Uint64("incarnation", uint64(nod.incarnation)))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
		}
	}
}

// stop announces that the process leaves and stops the role within the shutdown time.
func (nod *Node) stop(life context.Context, rol Role) {
	nod.health.SetLeaving()
	nod.logger.Info("process leaving")
	ctx, cancel := context.WithTimeout(life, nod.settings.Shutdown())
	defer cancel()
	if err := nod.gossip.Leave(ctx); err != nil {
		nod.logger.Warn("leave not announced to the membership", zap.Error(err))
	}
	rol.Stop(ctx)
	nod.logger.Info("process stopped")
}

// start runs the common components under the group.
func (nod *Node) start(ctx context.Context, grp *errgroup.Group) error {
	lsn, err := net.Listen("tcp", nod.settings.PeerListenAddress())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	mtr, err := net.Listen("tcp", nod.settings.MetricsAddress())
	if err != nil {
		_ = lsn.Close()
		return errors.Wrap(err, "listen for metrics")
	}
	grp.Go(func() error { return nod.server.Serve(ctx, lsn) })
	grp.Go(func() error {
		cls := clients.New("metrics", clients.ProbeLimits(), ProbeWire(), nod.logger)
		return ServeHTTP(ctx, cls.Listener(mtr), cls.Server(telemetry.Handler(&nod.health), clients.RefusePlain))
	})
	grp.Go(func() error { return nod.gossip.Run(ctx) })
	grp.Go(func() error { nod.config.Run(ctx); return nil })
	grp.Go(func() error { nod.recorder.Run(ctx); return nil })
	grp.Go(func() error { nod.gossipHead(ctx); return nil })
	return nil
}

// gossipHead puts each new configuration head into the membership datagrams.
func (nod *Node) gossipHead(ctx context.Context) {
	last := ticket.Number(0)
	control.Every(ctx, headPeriod, func() {
		if head := nod.State().Head(); head != last {
			last = head
			nod.gossip.SetHead(uint64(head))
			nod.logger.Info("configuration in force", zap.Uint64("head", uint64(head)))
		}
	})
}

// ServeHTTP serves until the context ends, then closes every connection.
func ServeHTTP(ctx context.Context, lsn net.Listener, srv *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(lsn); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}
