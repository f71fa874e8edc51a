package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/io/control"
)

// Place is one process of a network. Others reach it at the relay's address and
// its ports; it listens at its own address, which also tells the relay who sends.
type Place struct {
	Name string `json:"name"`
	Host string `json:"host"`
	TCP  []int  `json:"tcp"`
	UDP  int    `json:"udp"` // zero when it receives no datagrams
}

// Rule says how the relay treats the connections that one of the senders opens to
// one of the receivers. An empty list stands for every process, also for one
// without a place.
type Rule struct {
	From          []string `json:"from"`
	To            []string `json:"to"`
	Mode          Mode     `json:"mode"`
	DropDatagrams bool     `json:"dropDatagrams"` // from the senders to the receivers
}

func (rul Rule) matches(from, to string) bool {
	return (len(rul.From) == 0 || slices.Contains(rul.From, from)) && (len(rul.To) == 0 || slices.Contains(rul.To, to))
}

// Rules are applied in order: the first that matches counts.
type Rules []Rule

func (rls Rules) of(from, to string) Rule {
	for _, rul := range rls {
		if rul.matches(from, to) {
			return rul
		}
	}
	return Rule{Mode: Pass}
}

// NetworkStatus describes a network.
type NetworkStatus struct {
	Connections      int   `json:"connections"`
	DroppedBytes     int64 `json:"droppedBytes"`
	DroppedDatagrams int64 `json:"droppedDatagrams"`
}

// route is a relayed connection between two processes.
type route struct {
	*link
	from, to string
}

// networkState is owned by the control loop.
type networkState struct {
	rules  Rules
	routes []*route
}

// directory is an immutable picture for the goroutines that relay.
type directory struct {
	rules   Rules
	names   map[netip.Addr]string
	sockets map[string]net.PacketConn
}

// Network stands between all processes of a deployment. The zero value is not
// usable. Places may be added while it runs.
type Network struct {
	host      string
	loop      *control.Loop[networkState]
	directory control.Snapshot[directory]
	dropped   atomic.Int64
	datagrams atomic.Int64
}

// NewNetwork returns a network without places that others reach at an IP address.
func NewNetwork(host string) *Network {
	nwk := &Network{host: host, loop: control.NewLoop(&networkState{}, queueLength, nil)}
	nwk.directory.Publish(&directory{})
	return nwk
}

// Run owns the state until the context ends.
func (nwk *Network) Run(ctx context.Context) { nwk.loop.Run(ctx) }

// Add opens the ports of a place and relays until the context ends.
func (nwk *Network) Add(ctx context.Context, plc Place) error {
	host, err := netip.ParseAddr(plc.Host)
	if err != nil {
		return errors.Wrap(err, "parse host")
	}
	for _, port := range plc.TCP {
		lsn, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(nwk.at(port)))
		if err != nil {
			return errors.Wrap(err, "listen for "+plc.Name)
		}
		context.AfterFunc(ctx, func() { _ = lsn.Close() })
		go nwk.accept(ctx, lsn, plc.Name, netip.AddrPortFrom(host, uint16(port)).String())
	}
	var socket net.PacketConn
	if plc.UDP != 0 {
		con, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(nwk.at(plc.UDP)))
		if err != nil {
			return errors.Wrap(err, "receive for "+plc.Name)
		}
		context.AfterFunc(ctx, func() { _ = con.Close() })
		socket = con
		go nwk.forward(ctx, con, plc.Name, net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, uint16(plc.UDP))))
	}
	_, err = control.Query(ctx, nwk.loop, func(*networkState, time.Time) struct{} {
		nwk.publish(func(dir *directory) {
			dir.names[host] = plc.Name
			if socket != nil {
				dir.sockets[plc.Name] = socket
			}
		})
		return struct{}{}
	})
	return err
}

func (nwk *Network) at(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(nwk.host), uint16(port))
}

// publish replaces the directory by a changed copy. It runs on the control loop.
func (nwk *Network) publish(change func(dir *directory)) {
	last := nwk.directory.Load()
	next := &directory{rules: last.rules, names: map[netip.Addr]string{}, sockets: map[string]net.PacketConn{}}
	for addr, name := range last.names {
		next.names[addr] = name
	}
	for name, con := range last.sockets {
		next.sockets[name] = con
	}
	change(next)
	nwk.directory.Publish(next)
}

// Switch replaces the rules and returns the status after it.
func (nwk *Network) Switch(ctx context.Context, rls Rules) (NetworkStatus, error) {
	for _, rul := range rls {
		if !rul.Mode.known() {
			return NetworkStatus{}, errors.Errorf("mode is %q, expected pass, silent, silentAll, oneWay or cut", rul.Mode)
		}
	}
	return control.Query(ctx, nwk.loop, func(sta *networkState, _ time.Time) NetworkStatus {
		sta.rules = rls
		nwk.publish(func(dir *directory) { dir.rules = rls })
		for _, rte := range sta.routes {
			rte.apply(Setting{Mode: rls.of(rte.from, rte.to).Mode}, true)
		}
		return nwk.status(sta)
	})
}

// Status returns the present status.
func (nwk *Network) Status(ctx context.Context) (NetworkStatus, error) {
	return control.Query(ctx, nwk.loop, func(sta *networkState, _ time.Time) NetworkStatus { return nwk.status(sta) })
}

func (nwk *Network) status(sta *networkState) NetworkStatus {
	return NetworkStatus{Connections: len(sta.routes), DroppedBytes: nwk.dropped.Load(), DroppedDatagrams: nwk.datagrams.Load()}
}

// nameOf returns the place that sends from an address, empty if none does.
func (dir *directory) nameOf(src net.Addr) string {
	adr, err := netip.ParseAddrPort(src.String())
	if err != nil {
		return ""
	}
	return dir.names[adr.Addr().Unmap()]
}

func (nwk *Network) accept(ctx context.Context, lsn net.Listener, to, target string) {
	for {
		con, err := lsn.Accept()
		if err != nil {
			return // the context has ended
		}
		go nwk.connect(ctx, con, to, target)
	}
}

// connect relays one connection until both directions end. A connection that is
// silent from its beginning never reaches the target.
func (nwk *Network) connect(ctx context.Context, client net.Conn, to, target string) {
	dir := nwk.directory.Load()
	from := dir.nameOf(client.RemoteAddr())
	if dir.rules.of(from, to).Mode == SilentAll {
		num, _ := io.Copy(io.Discard, client)
		nwk.dropped.Add(num)
		_ = client.Close()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	con, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	rte := &route{link: newLink(client, con, &nwk.dropped), from: from, to: to}
	defer rte.close()
	stop := context.AfterFunc(ctx, rte.close)
	defer stop()
	_, err = control.Query(ctx, nwk.loop, func(sta *networkState, _ time.Time) struct{} {
		rte.apply(Setting{Mode: sta.rules.of(from, to).Mode}, false)
		sta.routes = append(sta.routes, rte)
		return struct{}{}
	})
	if err != nil {
		return
	}
	rte.run()
	_ = nwk.loop.Post(ctx, control.Func[networkState](func(sta *networkState, _ time.Time) {
		sta.routes = slices.DeleteFunc(sta.routes, func(oth *route) bool { return oth == rte })
	}))
}

// maxDatagram is the largest UDP datagram.
const maxDatagram = 64 << 10

// forward delivers datagrams so that they seem to come from the address at which
// others reach their sender.
func (nwk *Network) forward(ctx context.Context, con net.PacketConn, to string, target net.Addr) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		num, src, err := con.ReadFrom(buf)
		if err != nil {
			continue // an ICMP error of an earlier datagram, or the end
		}
		dir := nwk.directory.Load()
		from := dir.nameOf(src)
		socket := dir.sockets[from]
		if socket == nil || dir.rules.of(from, to).DropDatagrams {
			nwk.datagrams.Add(1)
			continue
		}
		_, _ = socket.WriteTo(buf[:num], target)
	}
}
