package backlog_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/specs"
	"jacinthpost/io/backlog"
)

func TestBacklog(t *testing.T) {
	specs.Run(t, "backlog")
}

func listen() *backlog.Listener {
	GinkgoHelper()
	lsn, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	lis := backlog.New(lsn)
	DeferCleanup(lis.Close)
	return lis
}

func connect(lis *backlog.Listener) net.Conn {
	GinkgoHelper()
	con, err := net.Dial("tcp", lis.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(con.Close)
	return con
}

// served accepts the next connection and expects that an answer written to it reaches the caller.
func served(lis *backlog.Listener, cli net.Conn) {
	GinkgoHelper()
	srv, err := lis.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(srv.Close)
	_, err = srv.Write([]byte("answer"))
	Expect(err).NotTo(HaveOccurred())
	buf := make([]byte, len("answer"))
	Expect(cli.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	Expect(cli.Read(buf)).To(Equal(len(buf)))
}

// Guards against a close that resets connections on which callers have sent requests.
var _ = It("serves the connections that wait when it is closed, in order", func() {
	lis := listen()
	callers := []net.Conn{connect(lis), connect(lis), connect(lis)}
	Expect(lis.Close()).To(Succeed())
	for _, cli := range callers {
		served(lis, cli)
	}
	_, err := lis.Accept()
	Expect(err).To(MatchError(net.ErrClosed))
	_, err = net.Dial("tcp", lis.Addr().String())
	Expect(err).To(MatchError(syscall.ECONNREFUSED))
})

// Guards against an Accept in progress that does not return when the listener is closed.
var _ = It("ends an Accept that is waiting", func() {
	lis := listen()
	ended := make(chan error)
	go func() {
		_, err := lis.Accept()
		ended <- err
	}()
	Expect(lis.Close()).To(Succeed())
	Eventually(ended).Should(Receive(MatchError(net.ErrClosed)))
	Expect(lis.Close()).To(Succeed(), "a second call")
})
