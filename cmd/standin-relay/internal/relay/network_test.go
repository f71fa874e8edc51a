package relay_test

import (
	"context"
	"net"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/cmd/standin-relay/internal/relay"
	"jacinthpost/io/peer"
)

// Ports of the places, which no other spec uses.
const (
	announced = "127.0.0.1"
	onePort   = 28501
	twoPort   = 28502
)

// member is one process of a network under test.
type member struct {
	pool   *peer.Pool
	socket net.PacketConn
}

func join(ctx context.Context, nwk *relay.Network, name, host string, port int) member {
	GinkgoHelper()
	addr := net.JoinHostPort(host, strconv.Itoa(port))
	srv := peer.NewServer()
	lsn, err := net.Listen("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = srv.Serve(ctx, lsn) }()
	mem := member{pool: peer.NewPool("test")}
	mem.pool.SetSource(host)
	DeferCleanup(mem.pool.Close)
	mem.socket, err = net.ListenPacket("udp", addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(mem.socket.Close)
	Expect(nwk.Add(ctx, relay.Place{Name: name, Host: host, TCP: []int{port}, UDP: port})).To(Succeed())
	return mem
}

func (mem member) ping(ctx context.Context, port int) error {
	limited, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	return mem.pool.Call(limited, net.JoinHostPort(announced, strconv.Itoa(port)), "Peer.Ping", struct{}{}, &struct{}{})
}

// heard sends a datagram to a port and returns the port it seems to come from, zero when it does not arrive.
func (mem member) heard(by member, port int) int {
	GinkgoHelper()
	_, err := mem.socket.WriteTo([]byte("x"), &net.UDPAddr{IP: net.ParseIP(announced), Port: port})
	Expect(err).NotTo(HaveOccurred())
	Expect(by.socket.SetReadDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
	_, src, err := by.socket.ReadFrom(make([]byte, 8))
	if err != nil {
		return 0
	}
	return src.(*net.UDPAddr).Port
}

// Guards against specs that cut less, or more, than they say, and against
// datagrams whose sender can't be answered.
var _ = It("a network treats connections and datagrams by sender and receiver", func(ctx SpecContext) {
	run, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	nwk := relay.NewNetwork(announced)
	go nwk.Run(run)
	one, two := join(run, nwk, "one", "127.0.3.1", onePort), join(run, nwk, "two", "127.0.3.2", twoPort)
	Expect(one.ping(ctx, twoPort)).To(Succeed())
	Expect(two.ping(ctx, onePort)).To(Succeed())
	Expect(one.heard(two, twoPort)).To(Equal(onePort))
	_, err := nwk.Switch(ctx, relay.Rules{{From: []string{"one"}, To: []string{"two"}, Mode: relay.SilentAll, DropDatagrams: true}})
	Expect(err).NotTo(HaveOccurred())
	Expect(one.ping(ctx, twoPort)).To(MatchError(peer.ErrSilent), "the connection that was open")
	Expect(one.ping(ctx, twoPort)).To(MatchError(peer.ErrSilent), "a new connection")
	Expect(one.heard(two, twoPort)).To(BeZero())
	Expect(two.ping(ctx, onePort)).To(Succeed(), "the other direction")
	Expect(two.heard(one, onePort)).To(Equal(twoPort))
	_, err = nwk.Switch(ctx, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(one.ping(ctx, twoPort)).To(Succeed())
	Expect(one.heard(two, twoPort)).To(Equal(onePort))
})
