package entrynode

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/shed"
	"jacinthpost/internal/specs"
	"jacinthpost/io/clients"
	"jacinthpost/io/web"
)

func TestEntryNode(t *testing.T) {
	specs.Run(t, "entrynode")
}

// served starts a server that answers every request with "answer" once release is closed.
func served(ctx context.Context, release <-chan struct{}) *callers {
	ginkgo.GinkgoHelper()
	clt := clients.New("test", shed.Limits{}, web.Wire(), zap.NewNop())
	cls, err := newCallers("127.0.0.1:0", clt, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(rw, "answer")
	}))
	Expect(err).NotTo(HaveOccurred())
	ended := make(chan error, 1)
	go func() { ended <- cls.serve(ctx) }()
	ginkgo.DeferCleanup(func() { Eventually(ended).Should(Receive(BeNil())) })
	return cls
}

func connect(cls *callers) net.Conn {
	ginkgo.GinkgoHelper()
	con, err := net.Dial("tcp", cls.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(con.Close)
	return con
}

func send(con net.Conn) {
	ginkgo.GinkgoHelper()
	_, err := io.WriteString(con, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
}

// answered expects a complete answer that asks for the end of the connection.
func answered(con net.Conn) {
	ginkgo.GinkgoHelper()
	Expect(con.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = rsp.Body.Close() }()
	Expect(io.ReadAll(rsp.Body)).To(BeEquivalentTo("answer"))
	Expect(rsp.Close).To(BeTrue(), "the answer asks for the end of the connection")
}

// Guards against requests that are dropped because the entry read them, or
// answered them, after it had closed its listener.
var _ = ginkgo.DescribeTable("a stopping entry answers on connections it has accepted",
	func(ctx ginkgo.SpecContext, before, after func(con net.Conn)) {
		release := make(chan struct{})
		cls := served(ctx, release)
		con := connect(cls)
		before(con)
		stopped := make(chan error, 1)
		go func() { stopped <- cls.stop(ctx) }()
		Eventually(func() error {
			try, err := net.Dial("tcp", cls.listener.Addr().String())
			if err == nil {
				_ = try.Close()
			}
			return err
		}).Within(2 * readinessGrace).Should(MatchError(syscall.ECONNREFUSED))
		Consistently(stopped).Within(time.Second).ShouldNot(Receive())
		after(con)
		close(release)
		answered(con)
		Eventually(stopped).Should(Receive(BeNil()))
	},
	ginkgo.Entry("when the request comes before the stop", send, func(net.Conn) {}),
	ginkgo.Entry("when the request comes after the listener has closed", func(net.Conn) {}, send),
)
