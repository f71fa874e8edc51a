package config_test

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/member"
	"jacinthpost/core/store/storefake"
	"jacinthpost/core/ticket"
	"jacinthpost/io/config"
	"jacinthpost/io/control"
	"jacinthpost/io/peer"
)

// fileAt files a ticket at the node with the index and expects it to be accepted.
func (clu *cluster) fileAt(ctx context.Context, idx int, tic ticket.Ticket) {
	GinkgoHelper()
	out := clu.nodes[peerAt(idx).Address()].File(ctx, tic)
	Expect(out.Kind()).To(Equal(ticket.OutcomeAccepted), config.Explain(out))
}

// expectMaySend checks how many nodes start tasks and admit requests.
func (clu *cluster) expectMaySend(tasks, requests int) {
	GinkgoHelper()
	gotTasks, gotRequests := clu.maySend()
	Expect([]int{gotTasks, gotRequests}).To(Equal([]int{tasks, requests}), "nodes that start tasks, nodes that admit requests")
}

// steady runs a cluster until every node is confirmed.
func steady(ctx context.Context, tab *storefake.Store, size int) *cluster {
	GinkgoHelper()
	clu := startCluster(ctx, tab, size)
	advance(3 * time.Second)
	clu.expectMaySend(size, size)
	return clu
}

func farRegion(per config.Peer) bool { return per.Location().Region() == "region-1" }

// Guards against tickets that take more than 3 s to be in force everywhere.
var _ = It("spreads a ticket to every node within 3 s", func() {
	bubble(func(ctx context.Context) {
		clu := steady(ctx, &storefake.Store{}, 120)
		var slowest time.Duration
		for num := range ticket.Number(5) {
			clu.fileAt(ctx, int(num)*7, drain(num+1, num, "agent-001", num%2 == 0))
			slowest = max(slowest, until(5*time.Second, func() bool { return clu.atHead(num+1) == 120 }))
		}
		GinkgoWriter.Println("slowest ticket in force everywhere after", slowest, "calls", clu.calls)
		Expect(slowest).To(BeNumerically("<", 1500*time.Millisecond))
		clu.expectNoErrors()
	})
})

// Guards against tickets that only reach the nodes while nudges arrive.
var _ = It("spreads a ticket within 3 s when every nudge is lost", func() {
	bubble(func(ctx context.Context) {
		clu := steady(ctx, &storefake.Store{}, 100)
		clu.cut(func(_, _ config.Peer, method string) bool { return method == "Config.Nudge" }, nil)
		fil, _ := newFiler(clu.table)
		Expect(fil.File(ctx, drain(1, 0, "agent-001", true)).Kind()).To(Equal(ticket.OutcomeAccepted))
		took := until(5*time.Second, func() bool { return clu.atHead(1) == 100 })
		Expect(took).To(BeNumerically("<", 2500*time.Millisecond))
	})
})

// Guards against the loss of service during a store outage, and against task starts on old
// configuration.
var _ = It("stops task starts and admits requests while the store is down", func() {
	bubble(func(ctx context.Context) {
		clu := steady(ctx, filed(), 40)
		clu.table.SetDown(true)
		advance(2 * time.Second)
		clu.expectMaySend(40, 40)
		for range 4 {
			advance(7 * time.Second)
			clu.expectMaySend(0, 40)
		}
		clu.table.SetDown(false)
		advance(2 * time.Second)
		clu.expectMaySend(40, 40)
		clu.expectNoErrors()
	})
})

// Guards against tasks that start in a region that can't see a ticket which forbids them.
var _ = It("keeps requests but no task starts in a region cut off from the store", func() {
	bubble(func(ctx context.Context) {
		clu := steady(ctx, filed(), 40)
		clu.cut(func(from, to config.Peer, _ string) bool { return farRegion(from) != farRegion(to) }, farRegion)
		advance(4 * time.Second)
		clu.expectMaySend(20, 40)
		clu.fileAt(ctx, 0, drain(3, 2, "agent-001", true))
		advance(20 * time.Second)
		clu.expectMaySend(20, 40)
		Expect(clu.atHead(3)).To(Equal(20))
		clu.cut(nil, nil)
		took := until(5*time.Second, func() bool { return clu.atHead(3) == 40 })
		Expect(took).To(BeNumerically("<", 3*time.Second))
		advance(2 * time.Second)
		clu.expectMaySend(40, 40)
		clu.expectNoErrors()
	})
})

// Guards against an isolated endpoint that goes on admitting although a ticket may have removed it.
var _ = DescribeTable("admits nothing on a node that reaches no reader", func(reader bool) {
	bubble(func(ctx context.Context) {
		clu := steady(ctx, filed(), 40)
		var alone config.Peer
		clu.each(func(per config.Peer, vie *config.View) {
			if vie.Reader() == reader {
				alone = per
			}
		})
		clu.cut(func(from, to config.Peer, _ string) bool { return from.ID() == alone.ID() || to.ID() == alone.ID() },
			func(per config.Peer) bool { return per.ID() == alone.ID() })
		advance(4 * time.Second)
		clu.expectMaySend(39, 39)
		clu.cut(nil, nil)
		advance(2 * time.Second)
		clu.expectMaySend(40, 40)
	})
}, Entry("reader", true), Entry("other node", false))

// Guards against one reader with a broken path to the store that keeps its data centre stale.
var _ = It("works around readers that alone can't reach the store", func() {
	bubble(func(ctx context.Context) {
		clu := steady(ctx, filed(), 100)
		broken := 0
		clu.cut(nil, func(per config.Peer) bool {
			return per.Location().DataCentre() == "dc-0" && per.ID() < "agent-060"
		})
		clu.each(func(per config.Peer, vie *config.View) {
			if vie.Reader() && per.Location().DataCentre() == "dc-0" && per.ID() < "agent-060" {
				broken++
			}
		})
		Expect(broken).To(BeNumerically(">", 0))
		for range 10 {
			advance(time.Second)
			clu.expectMaySend(100, 100)
		}
		clu.fileAt(ctx, 1, drain(3, 2, "agent-001", true))
		Expect(until(5*time.Second, func() bool { return clu.atHead(3) == 100 })).To(BeNumerically("<", 3*time.Second))
	})
})

// Guards against nodes that start while the store is down and never get a configuration.
var _ = DescribeTable("a node that starts with nothing loads all objects", func(down bool) {
	bubble(func(ctx context.Context) {
		tab := &storefake.Store{}
		fil, _ := newFiler(tab)
		var sta ticket.State
		for sta.Head() < ticket.HistoryLimit+50 {
			tic := manyObjects(sta, 1+int(sta.Head()%2), int(sta.Head()))
			Expect(fil.File(ctx, tic).Kind()).To(Equal(ticket.OutcomeAccepted))
			sta, _ = sta.Apply(tic)
		}
		clu := steady(ctx, tab, 40)
		tab.SetDown(down)
		advance(4 * time.Second)
		late := peerAt(41)
		clu.mu.Lock()
		clu.peers = append(clu.peers, late)
		clu.mu.Unlock()
		nod := clu.start(ctx, late)
		took := until(10*time.Second, func() bool { return nod.View().State().Head() == sta.Head() })
		Expect(took).To(BeNumerically("<", 3*time.Second))
		Expect(nod.View().State().Records("", 10_000)).To(Equal(sta.Records("", 10_000)))
	})
}, Entry("store up", false), Entry("store down", true))

// Guards against a configuration that reverts when the table is restored from an old copy.
var _ = It("keeps its head and confirms nothing when the table is restored from an old copy", func() {
	bubble(func(ctx context.Context) {
		clu := steady(ctx, filed(), 20)
		older := &storefake.Store{}
		fil, _ := newFiler(older)
		Expect(fil.File(ctx, drain(1, 0, "agent-009", true)).Kind()).To(Equal(ticket.OutcomeAccepted))
		clu.mu.Lock()
		clu.older = older
		clu.mu.Unlock()
		advance(4 * time.Second)
		Expect(clu.atHead(2)).To(Equal(20))
		clu.expectMaySend(0, 20)
		clu.expectNoErrors()
	})
})

func runLoop(ctx context.Context) *control.Loop[struct{}] {
	lop := control.NewLoop(&struct{}{}, 256, nil)
	go lop.Run(ctx)
	return lop
}

// Guards against data centres without a reader, and against so many that the store is overloaded.
var _ = It("about one node in 20 of each data centre reads the store", func() {
	bubble(func(ctx context.Context) {
		clu := steady(ctx, filed(), 124) // 31 nodes in each data centre
		perCentre := make(map[string]int)
		clu.each(func(per config.Peer, vie *config.View) {
			if vie.Reader() {
				perCentre[string(per.Location().DataCentre())]++
			}
		})
		Expect(perCentre).To(Equal(map[string]int{"dc-0": 2, "dc-1": 2, "dc-2": 2, "dc-3": 2}))
		before := clu.table.Reads()
		advance(10 * time.Second)
		Expect(clu.table.Reads() - before).To(BeNumerically("<=", 8*21))
	})
})

// Guards against nodes that pull from members that leave, and against a new slice at every call.
var _ = It("translates a membership view once", func() {
	profile := member.NewProfile(member.RoleEntry, "10.0.0.1:7000", "10.0.0.1:7100", peerAt(1).Location())
	mac := member.New("entry-1", 1, profile, rand.New(rand.NewPCG(1, 1)))
	vie := mac.View()
	peers := config.PeersFrom(func() *member.View { return &vie })
	Expect(peers()).To(Equal([]config.Peer{config.NewPeer("entry-1", "10.0.0.1:7000", peerAt(1).Location(), member.RoleEntry)}))
	Expect(&peers()[0]).To(BeIdenticalTo(&peers()[0]))
	mac.Leave(time.Now())
	left := mac.View()
	Expect(config.PeersFrom(func() *member.View { return &left })()).To(BeEmpty())
	Expect(config.PeersFrom(func() *member.View { return nil })()).To(BeEmpty())
})

// Guards against operators who can't see where a ticket is in force.
var _ = It("collects the heads of all nodes", func() {
	bubble(func(ctx context.Context) {
		clu := steady(ctx, filed(), 80)
		advance(2 * time.Second)
		heads := clu.nodes[peerAt(3).Address()].CollectHeads(ctx)
		Expect(heads).To(HaveLen(80))
		for _, hed := range heads {
			Expect(hed.Head).To(Equal(uint64(2)))
		}
	})
})

// Guards against methods that net/rpc refuses to register or can't encode.
var _ = It("answers over net/rpc", func(ctx SpecContext) {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	loc := peerAt(0).Location()
	reader := config.NewPeer("agent-a", lsn.Addr().String(), loc, member.RoleEntry)
	puller := config.NewPeer("agent-b", "127.0.0.1:1", loc, member.RoleAgent)
	peers := func() []config.Peer { return []config.Peer{reader, puller} }
	pool := peer.NewPool("config")
	defer pool.Close()
	nod := config.NewNode(reader, filed(), pool, peers, runLoop(running))
	srv := peer.NewServer()
	srv.Register(config.ServiceName, nod.Service())
	go func() { _ = srv.Serve(running, lsn) }()
	go nod.Run(running)
	down := &storefake.Store{}
	down.SetDown(true)
	oth := config.NewNode(puller, down, pool, peers, runLoop(running))
	go oth.Run(running)
	Eventually(func() bool { return oth.View().MayStartTasks(time.Now()) }).WithTimeout(5 * time.Second).Should(BeTrue())
	Expect(oth.View().State().Head()).To(Equal(ticket.Number(2)))
	Eventually(func() int { return len(nod.ConfirmedHeads(running)) }).WithTimeout(5 * time.Second).Should(Equal(2))
}, SpecTimeout(20*time.Second))

// disturb changes at random what is cut off: a region, a data centre, some nodes, or nothing.
func (clu *cluster) disturb(random *rand.Rand) {
	part := [...]func(per config.Peer) bool{
		farRegion,
		func(per config.Peer) bool { return per.Location().DataCentre() == "dc-2" },
		func(per config.Peer) bool { return per.ID() < "agent-006" },
		func(config.Peer) bool { return false },
	}[random.IntN(4)]
	clu.table.SetDown(random.IntN(5) == 0)
	clu.cut(func(from, to config.Peer, _ string) bool { return part(from) != part(to) }, part)
}

// Guards against task starts that a ticket older than the freshness limit forbids, under any mix
// of faults.
var _ = DescribeTable("no node starts tasks on outdated configuration", func(seed uint64) {
	bubble(func(ctx context.Context) {
		random := rand.New(rand.NewPCG(seed, 5))
		clu := steady(ctx, &storefake.Store{}, 20)
		fil, _ := newFiler(clu.table)
		head := ticket.Number(0)
		for range 30 {
			clu.disturb(random)
			if fil.File(ctx, drain(head+1, head, "agent-001", true)).InSequence() {
				head++
				clu.filedAt = append(clu.filedAt, time.Now())
			}
			for range 2 + random.IntN(30) {
				advance(200 * time.Millisecond)
				clu.maySend()
			}
			clu.expectNoErrors()
		}
		Expect(head).To(BeNumerically(">", 10))
		clu.table.SetDown(false)
		clu.cut(nil, nil)
		Expect(until(10*time.Second, func() bool { return clu.atHead(head) == 20 })).To(BeNumerically("<", 3*time.Second))
	})
}, seedEntries(2))
