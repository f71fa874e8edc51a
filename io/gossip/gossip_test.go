package gossip_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/fleet"
	"jacinthpost/core/member"
	"jacinthpost/core/resource"
	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
	"jacinthpost/io/control"
	"jacinthpost/io/gossip"
)

func TestGossip(t *testing.T) {
	if err := proptest.Setup(100, 30); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "gossip")
}

func profileFor(adr string) member.Profile {
	loc := fleet.NewLocation("bac", "bac-hanoi", "rack-1")
	return member.NewProfile(member.RoleAgent, member.Address(adr), member.Address(adr), loc).
		WithService("catalog-core", 8, 64).WithCapacity(resource.New(32000, 125000, 2)).WithLabels(map[string]string{"build": "a1"})
}

// process is one member on a loopback socket.
type process struct {
	*gossip.Gossip
	conn net.PacketConn
	stop context.CancelFunc
	done chan struct{}
}

func startProcess(ctx context.Context, tab store.Table, id string) *process {
	GinkgoHelper()
	con, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	running, stop := context.WithCancel(ctx)
	lop := control.NewLoop(&struct{}{}, 256, nil)
	set := gossip.NewSettings(fleet.InstanceID(id), 1, profileFor(con.LocalAddr().String()))
	gos, err := gossip.New(set, con, tab, lop)
	Expect(err).NotTo(HaveOccurred())
	pro := &process{Gossip: gos, conn: con, stop: stop, done: make(chan struct{})}
	go lop.Run(running)
	go func() {
		defer close(pro.done)
		_ = gos.Run(running)
	}()
	return pro
}

func expectUsable(pro *process, num int) {
	GinkgoHelper()
	Eventually(func() int { return len(pro.View().Usable()) }).WithTimeout(20 * time.Second).Should(Equal(num))
}

// Guards against members, leaves or seed rows that do not reach the other processes or the table.
var _ = It("processes find each other through the table, leave and stop", func(ctx SpecContext) {
	tab := &storefake.Store{}
	one := startProcess(ctx, tab, "agent-1")
	expectRows(tab, 1)
	two, three := startProcess(ctx, tab, "agent-2"), startProcess(ctx, tab, "agent-3")
	for _, pro := range []*process{one, two, three} {
		expectUsable(pro, 3)
	}
	mem, _ := one.View().Member("agent-3")
	Expect(mem.Profile().Equal(profileFor(three.conn.LocalAddr().String()))).To(BeTrue())
	changed := profileFor(two.conn.LocalAddr().String()).WithService("paddle-booking", 4, 32)
	Expect(two.SetProfile(ctx, changed)).To(Succeed())
	Eventually(func() fleet.Service {
		mem, _ := one.View().Member("agent-2")
		return mem.Profile().Service()
	}).WithTimeout(10 * time.Second).Should(Equal(fleet.Service("paddle-booking")))
	Expect(three.Leave(ctx)).To(Succeed())
	expectUsable(one, 2)
	expectUsable(two, 2)
	expectRows(tab, 2)
	for _, pro := range []*process{one, two, three} {
		pro.stop()
		Eventually(pro.done).WithTimeout(5 * time.Second).Should(BeClosed())
	}
}, SpecTimeout(60*time.Second))

func expectRows(tab store.Table, num int) {
	GinkgoHelper()
	Eventually(func() []store.Row {
		rows, _ := tab.List(context.Background(), "member/", "", 100)
		return rows
	}).WithTimeout(5 * time.Second).Should(HaveLen(num))
}

// Guards against seeds of processes that ended long ago without deleting their row.
var _ = It("deletes expired seed rows", func(ctx SpecContext) {
	tab := &storefake.Store{}
	var txn store.Transaction
	raw, _ := json.Marshal(map[string]any{"instance": "agent-0", "gossipAddress": "127.0.0.1:9", "writtenUnixMillis": time.Now().Add(-4 * time.Hour).UnixMilli()})
	txn.Put("member/agent-0", raw)
	_, err := tab.Commit(ctx, &txn)
	Expect(err).NotTo(HaveOccurred())
	pro := startProcess(ctx, tab, "agent-1")
	Eventually(func() string {
		rows, _ := tab.List(ctx, "member/", "", 100)
		return fmt.Sprint(len(rows), " ", rows[0].Key())
	}).WithTimeout(5 * time.Second).Should(Equal("1 member/agent-1"))
	pro.stop()
	<-pro.done
}, SpecTimeout(20*time.Second))

// Guards against malformed datagrams that stop the receiver.
var _ = It("counts and drops malformed datagrams", func(ctx SpecContext) {
	pro := startProcess(ctx, &storefake.Store{}, "agent-1")
	con, err := net.Dial("udp", pro.conn.LocalAddr().String())
	Expect(err).NotTo(HaveOccurred())
	count := metrics.GetOrCreateCounter(`jacinthpost_gossip_dropped_datagrams_total{cause="malformed"}`)
	before := count.Get()
	for _, raw := range []string{"", "{", "null", strings.Repeat("x", 2000)} {
		_, err := con.Write([]byte(raw))
		Expect(err).NotTo(HaveOccurred())
	}
	Eventually(count.Get).WithTimeout(5 * time.Second).Should(Equal(before + 4))
	other := startProcess(ctx, &storefake.Store{}, "agent-2")
	ping := member.NewMessage(member.KindPing, 1, member.NewUpdate("agent-3", member.NewVersion(1, 0), member.StateAlive, 0).
		WithProfile(profileFor(other.conn.LocalAddr().String())), "")
	raw, err := gossip.Encode(ping)
	Expect(err).NotTo(HaveOccurred())
	_, err = con.Write(raw)
	Expect(err).NotTo(HaveOccurred())
	expectUsable(pro, 2)
	for _, itm := range []*process{pro, other} {
		itm.stop()
		<-itm.done
	}
}, SpecTimeout(30*time.Second))

// Guards against settings that no datagram can carry: New must reject them before the process runs.
var _ = DescribeTable("New refuses", func(id string, pro member.Profile) {
	_, err := gossip.New(gossip.NewSettings(fleet.InstanceID(id), 1, pro), nil, &storefake.Store{}, nil)
	Expect(err).To(HaveOccurred())
},
	Entry("an empty instance", "", profileFor("127.0.0.1:1")),
	Entry("an instance that needs escapes", `a"b`, profileFor("127.0.0.1:1")),
	Entry("no address", "a", profileFor("")),
	Entry("labels that fill a datagram", "a", profileFor("127.0.0.1:1").WithLabels(map[string]string{
		"a": strings.Repeat("x", 120), "b": strings.Repeat("x", 120), "c": strings.Repeat("x", 120), "d": strings.Repeat("x", 120),
		"e": strings.Repeat("x", 120), "f": strings.Repeat("x", 120), "g": strings.Repeat("x", 120)})),
)

// drawMessage draws a message whose texts use every permitted character.
func drawMessage(rt *rapid.T) member.Message {
	name := rapid.StringMatching(`[!#-%'-;=?-\[\]-~]{1,40}`)
	upd := func(label string) member.Update {
		counter := rapid.Uint32Range(0, 1<<30).Draw(rt, label+"counter")
		out := member.NewUpdate(fleet.InstanceID(name.Draw(rt, label)), member.NewVersion(fleet.Incarnation(rapid.Uint64().Draw(rt, "inc")), counter),
			member.State(rapid.IntRange(0, 3).Draw(rt, "state")), rapid.Uint32Range(0, counter).Draw(rt, "at"))
		if rapid.Bool().Draw(rt, "full") {
			loc := fleet.NewLocation(fleet.Region(name.Draw(rt, "region")), fleet.DataCentre(name.Draw(rt, "dc")), fleet.Rack(name.Draw(rt, "rack")))
			num := rapid.Int64Range(0, math.MaxInt64)
			out = out.WithProfile(member.NewProfile(member.RoleEntry, member.Address(name.Draw(rt, "peer")), member.Address(name.Draw(rt, "gossip")), loc).
				WithCapacity(resource.New(num.Draw(rt, "cpu"), num.Draw(rt, "mem"), num.Draw(rt, "acc"))).
				WithService(fleet.Service(name.Draw(rt, "service")), int(num.Draw(rt, "slots")), int(num.Draw(rt, "conns"))).
				WithLabels(map[string]string{name.Draw(rt, "key"): name.Draw(rt, "val")}))
		}
		return out
	}
	msg := member.NewMessage(member.MessageKind(rapid.IntRange(1, 9).Draw(rt, "kind")), rapid.Uint32().Draw(rt, "seq"), upd("sender"), fleet.InstanceID(name.Draw(rt, "to"))).
		WithHead(rapid.Uint64().Draw(rt, "head")).WithTarget(fleet.InstanceID(name.Draw(rt, "target")), member.Address(name.Draw(rt, "address")))
	if rapid.Bool().Draw(rt, "digests") {
		return msg.WithDigests(rapid.SliceOfN(rapid.Uint32(), member.SyncBuckets, member.SyncBuckets).Draw(rt, "list")).WithUpdates([]member.Update{}).WithWanted([]fleet.InstanceID{})
	}
	return msg.WithUpdates([]member.Update{upd("one"), upd("two")}).WithWanted([]fleet.InstanceID{fleet.InstanceID(name.Draw(rt, "wanted"))})
}

// Guards against datagrams above 1,400 bytes: the core packs them by its estimate of the encoded size.
var _ = It("decodes what it encodes, within the estimated size", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		msg := drawMessage(rt)
		raw, err := gossip.Encode(msg)
		if msg.Size() > member.MaxDatagram && err != nil {
			return
		}
		if err != nil || len(raw) > msg.Size() {
			rt.Fatalf("%d bytes, estimated %d: %v", len(raw), msg.Size(), err)
		}
		got, err := gossip.Decode(raw)
		if err != nil {
			if strings.Contains(err.Error(), "too large for a datagram") {
				return
			}
			rt.Fatalf("%s: %v", raw, err)
		}
		again, err := gossip.Encode(got)
		if err != nil || string(again) != string(raw) {
			rt.Fatalf("changed from %s to %s: %v", raw, again, err)
		}
	})
})

// FuzzDecode guards against panics in the decoder and in the state machine behind it.
func FuzzDecode(f *testing.F) {
	sender := member.NewUpdate("agent-2", member.NewVersion(1, 0), member.StateAlive, 0).WithProfile(profileFor("127.0.0.1:2"))
	for knd := member.KindPing; knd.Valid(); knd++ {
		raw, err := gossip.Encode(member.NewMessage(knd, 7, sender, "agent-1").WithTarget("agent-2", "127.0.0.1:2").
			WithUpdates([]member.Update{sender}).WithWanted([]fleet.InstanceID{"agent-1"}))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		msg, err := gossip.Decode(raw)
		if err != nil {
			return
		}
		mac := member.New("agent-1", 1, profileFor("127.0.0.1:1"), newRandom())
		now := time.Unix(1_700_000_000, 0)
		for range 60 {
			mac.Receive(now, "127.0.0.1:2", msg)
			mac.Tick(now)
			outgoing, _ := mac.Drain()
			for _, env := range outgoing {
				if _, err := gossip.Encode(env.Message()); err != nil {
					t.Fatalf("%v", err)
				}
			}
			now = now.Add(member.TickPeriod)
		}
	})
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
