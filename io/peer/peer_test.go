package peer

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/specs"
)

func TestPeer(t *testing.T) {
	specs.Run(t, "peer")
}

// connection is a simulated connection whose clock advances by PingPeriod.
type connection struct {
	lvn               liveness
	now               time.Time
	lastUse, lastRead time.Time
	busy, delivers    bool
	decisions         int // calls of decide
}

func newConnection(busy, delivers bool) *connection {
	now := time.Unix(1000, 0)
	return &connection{lvn: liveness{warm: true}, now: now, lastUse: now, lastRead: now, busy: busy, delivers: delivers}
}

// until advances until the action and returns how long it took, or the limit.
func (con *connection) until(want action, limit time.Duration) time.Duration {
	begun := con.now
	for con.now.Sub(begun) < limit {
		con.now = con.now.Add(con.lvn.pause(con.now, con.busy, con.lastUse, con.lastRead))
		con.decisions++
		act := con.lvn.decide(con.now, con.busy, con.lastUse, con.lastRead)
		if act == want {
			break
		}
		if act == actPing && con.delivers {
			con.lastRead = con.now.Add(time.Millisecond)
		}
	}
	return con.now.Sub(begun)
}

// Guards against calls that hang on a connection that delivers nothing, and against closing
// one that still delivers.
var _ = DescribeTable("liveness",
	func(busy, delivers bool, want action, within time.Duration) {
		con := newConnection(busy, delivers)
		Expect(con.until(want, time.Minute)).To(BeNumerically("<=", within))
	},
	Entry("a silent connection with calls is closed within 2 s", true, false, actSilent, 2*time.Second),
	Entry("a silent connection without calls is closed before it is reused for long", false, false, actSilent, IdlePingPeriod+2*time.Second),
	Entry("an unused connection is closed", false, true, actUnused, IdleLimit+2*PingPeriod),
)

var _ = Describe("a working connection with a long call", func() {
	It("is never closed", func() {
		Expect(newConnection(true, true).until(actSilent, time.Minute)).To(Equal(time.Minute))
	})
})

// Guards against idle connections that wake the process: an agent has one to the
// owner of each of its tasks.
var _ = It("an idle connection is checked at most once between calls", func() {
	con := newConnection(false, true)
	con.lvn.warm = false
	for range 6 {
		con.lastUse, con.lastRead = con.now, con.now
		con.until(actUnused, 10*time.Second)
	}
	Expect(con.decisions).To(BeNumerically("<=", 6))
})

// slow is a service whose method returns when its context ends.
type slow struct{ ctx context.Context }

// Wait blocks until the context of the service ends.
func (slw slow) Wait(_ struct{}, _ *struct{}) error { <-slw.ctx.Done(); return nil }

var _ = Describe("Pool.Call", func() {
	It("keeps a slow call alive past the silence limit and ends it at the caller's deadline", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		srv := NewServer()
		srv.Register("Slow", slow{ctx: ctx})
		lsn, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = srv.Serve(ctx, lsn) }()
		limited, stop := context.WithTimeout(ctx, SilenceLimit+SilenceLimit/2)
		DeferCleanup(stop)
		err = NewPool("test").Call(limited, lsn.Addr().String(), "Slow.Wait", struct{}{}, &struct{}{})
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})
	It("ends a call on a connection that delivers nothing", func() {
		lsn, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(lsn.Close)
		limited, stop := context.WithTimeout(context.Background(), 3*SilenceLimit)
		DeferCleanup(stop)
		err = NewPool("test").Call(limited, lsn.Addr().String(), "Slow.Wait", struct{}{}, &struct{}{})
		Expect(err).To(MatchError(ErrSilent))
	})
	It("proves that a call was not sent when nobody listens", func() {
		lsn, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := lsn.Addr().String()
		Expect(lsn.Close()).To(Succeed())
		var poo Pool
		Expect(poo.Call(context.Background(), addr, "Slow.Wait", struct{}{}, &struct{}{})).To(MatchError(ErrNotSent))
	})
})
