package crowds_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/platform"
	"jacinthpost/platform/standin/rowstore"
)

// Legal sizes of the interfaces, in bytes.
const (
	frontBody   = 256 << 10 // limits.maxBodyBytes of the configuration
	frontHeader = 16 << 10  // limits.maxHeaderBytes
	ownBody     = 1 << 20
	heartbeat   = 4 << 20
)

// Sizes of crowds. Each crowd of bodies sends more than the memory of the machine.
const (
	frontCrowd   = 500 // 125 MB
	ownCrowd     = 150 // 150 MB
	agentCrowd   = 40  // 160 MB
	decodeCrowd  = 24
	headerCrowd  = 500
	socketsCrowd = 900
)

// ownJob is an ordinary job in the format of the product's own interface.
const ownJob = `{"payload":"x","steps":[{"count":1,"milliCpu":100}]}`

const frontPath, ownPath = "/q/crowd", "/v1/queues/q/jobs/crowd"

// Guards against an entry that runs out of memory by the bodies, the headers or the decoded jobs of clients that
// stop just short of their end and stay open (a trial of this system, issue 43), and against ordinary callers
// that such clients lock out.
var _ = DescribeTable("an entry serves an ordinary caller beside a crowd at the platform's interface",
	func(size int, scr func() script) {
		nod := startEntry()
		crowd(nod.front, size, scr())
		nod.expectWithinLimits()
		Expect(nod.submit("afterwards")).To(Succeed())
		nod.expectWithinLimits()
	},
	Entry("that sends large bodies", frontCrowd, func() script {
		return sized("POST", frontPath, padded(ordinaryJob, frontBody))
	}),
	Entry("that sends large bodies piece by piece", frontCrowd, func() script {
		return sized("POST", frontPath, padded(ordinaryJob, frontBody)).inPieces()
	}),
	Entry("that sends large chunks", frontCrowd, func() script {
		return chunked("POST", frontPath, padded(ordinaryJob, frontBody), largeChunk)
	}),
	Entry("that sends very small chunks", frontCrowd, func() script {
		return chunked("POST", frontPath, padded(ordinaryJob, frontBody), tinyChunk).inPieces()
	}),
	Entry("that sends jobs of many steps", decodeCrowd*wholeShare, func() script {
		return sized("POST", frontPath, repeated("steps", "{}", frontBody))
	}),
	Entry("that sends jobs of many dependencies", decodeCrowd*wholeShare, func() script {
		return sized("POST", frontPath, []byte(`{"steps":[`+string(repeated("after", "0", frontBody-20))+`]}`))
	}),
	Entry("that sends short header lines", headerCrowd, func() script { return tinyHeaders(frontPath, frontHeader) }),
	Entry("that sends headers far over the limit", headerCrowd, func() script { return tinyHeaders(frontPath, 60*frontHeader) }),
)

// Guards against the same at the product's own interface for jobs of steps.
var _ = DescribeTable("an entry serves an ordinary caller beside a crowd at the product's own interface",
	func(size int, scr func() script) {
		nod := startEntry()
		crowd(nod.own, size, scr())
		nod.expectWithinLimits()
		Expect(nod.submitOwn("afterwards")).To(Succeed())
		Expect(nod.submit("beside")).To(Succeed())
		nod.expectWithinLimits()
	},
	Entry("that sends large bodies", ownCrowd, func() script {
		return sized("PUT", ownPath, padded(ownJob, ownBody))
	}),
	Entry("that sends large bodies piece by piece", ownCrowd, func() script {
		return sized("PUT", ownPath, padded(ownJob, ownBody)).inPieces()
	}),
	Entry("that sends very small chunks", ownCrowd, func() script {
		return chunked("PUT", ownPath, padded(ownJob, ownBody), tinyChunk).inPieces()
	}),
	Entry("that sends jobs of many steps", decodeCrowd*wholeShare, func() script {
		return sized("PUT", ownPath, repeated("steps", "{}", ownBody))
	}),
	Entry("that sends short header lines", headerCrowd, func() script { return tinyHeaders(ownPath, frontHeader) }),
)

// Guards against calls that hold their bodies while they wait for a store that does not answer.
var _ = It("an entry serves an ordinary caller after a crowd whose calls waited for the store", func() {
	nod := startEntry()
	nod.rows.SetFault(rowstore.Hang)
	scr := sized("POST", frontPath, padded(ordinaryJob, frontBody), "X-Deadline-Ms: 600000")
	crowd(nod.front, frontCrowd, script{append(scr[0], scr[1]...), nil})
	nod.expectWithinLimits()
	nod.rows.SetFault(rowstore.None)
	Expect(nod.submit("afterwards")).To(Succeed())
	nod.expectWithinLimits()
})

// Guards against an entry without descriptors for the store, and against one that ends because it can't accept a
// connection of an agent.
var _ = DescribeTable("an entry keeps descriptors for its own calls beside a crowd",
	func(scr script) {
		nod := startEntry()
		crowd(nod.front, socketsCrowd, scr)
		connect(nod.standby, 1)
		nod.expectWithinLimits()
		Expect(nod.submit("afterwards")).To(Succeed())
		Expect(nod.submitOwn("beside")).To(Succeed())
		nod.expectWithinLimits()
	},
	Entry("that sends nothing", script{nil}),
	Entry("that stops within the headers", script{[]byte("POST /q/crowd HTTP/1.1\r\nHost: " + host + "\r\nContent-Le"), nil}),
	Entry("that stops at the body", script{head("POST", frontPath, "Content-Length: 100"), nil}),
	Entry("that stops at the body of a refused request", script{head("POST", "/other/crowd", "Content-Length: 100"), nil}),
	Entry("that leaves its connections open after a request", script{head("GET", "/q/", "X-Crowd: yes"), nil}),
	Entry("that reads no answers", script{[]byte(strings.Repeat(string(head("GET", "/q/", "X-Crowd: yes")), 3000)), nil}),
)

// Guards against a refusal that waits for the end of a body that never comes.
var _ = DescribeTable("a refusal reaches a caller whose body is still open",
	func(address func(nod *node) string, method, path string, status int, headers ...string) {
		nod := startEntry()
		con := connect(address(nod), 1)[0]
		play(con, script{head(method, path, headers...), []byte("{"), nil}, true)
		Expect(con.SetReadDeadline(time.Now().Add(answerLimit))).To(Succeed())
		rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(rsp.Body.Close()).To(Succeed())
		Expect(rsp.StatusCode).To(Equal(status))
		nod.expectWithinLimits()
	},
	Entry("no such queue", front, "POST", "/other/crowd", http.StatusNotFound, "Content-Length: 1000"),
	Entry("no such queue, in chunks", front, "POST", "/other/crowd", http.StatusNotFound, "Transfer-Encoding: chunked"),
	Entry("a method that there is not", front, "PATCH", frontPath, http.StatusMethodNotAllowed, "Content-Length: 1000"),
	Entry("a body over the limit", front, "POST", frontPath, http.StatusRequestEntityTooLarge, "Content-Length: 262145"),
	Entry("no such queue at the own interface", own, "PUT", "/v1/queues/other/jobs/crowd", http.StatusNotFound, "Content-Length: 1000"),
	Entry("a body over the limit at the own interface", own, "PUT", ownPath, http.StatusRequestEntityTooLarge, fmt.Sprintf("Content-Length: %d", ownBody+1)),
)

// Guards against an agent that runs out of memory by the heartbeats of programs other than its worker.
var _ = DescribeTable("an agent takes the heartbeat of its worker beside a crowd",
	func(size int, scr func() script) {
		nod := startNode(platform.AgentRole)
		Eventually(nod.announce).WithTimeout(startLimit).Should(Succeed())
		crowd(nod.control, size, scr())
		nod.expectWithinLimits()
		Expect(nod.announce()).To(Succeed())
		nod.expectWithinLimits()
	},
	Entry("that sends large bodies", agentCrowd, func() script {
		return sized("PUT", "/-/instances/crowd", padded("{}", heartbeat))
	}),
	Entry("that sends many labels", decodeCrowd*wholeShare, func() script {
		return sized("PUT", "/-/instances/crowd", repeated("labels", `""`, 256<<10))
	}),
	Entry("that sends nothing", socketsCrowd, func() script { return script{nil} }),
)

// Guards against limits that a single request inside the limits of the pages meets in calm, and against a byte too many.
var _ = DescribeTable("a single request at the limit",
	func(address func(nod *node) string, scr script, status int) {
		nod := startEntry()
		con := connect(address(nod), 1)[0]
		play(con, scr, true)
		Expect(con.SetReadDeadline(time.Now().Add(answerLimit))).To(Succeed())
		rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(rsp.Body.Close()).To(Succeed())
		Expect(rsp.StatusCode).To(Equal(status))
	},
	Entry("is served whole", front, sized("POST", "/q/one", padded(ordinaryJob, frontBody)), http.StatusOK),
	Entry("is served in pieces", front, sized("POST", "/q/one", padded(ordinaryJob, frontBody)).inPieces(), http.StatusOK),
	Entry("is served in large chunks", front, chunked("POST", "/q/one", padded(ordinaryJob, frontBody), largeChunk), http.StatusOK),
	Entry("is served in very small chunks", front, chunked("POST", "/q/one", padded(ordinaryJob, frontBody), tinyChunk), http.StatusOK),
	Entry("is served at the own interface", own, sized("PUT", "/v1/queues/q/jobs/one", padded(ownJob, ownBody)), http.StatusOK),
	Entry("is served at the own interface in very small chunks", own, chunked("PUT", "/v1/queues/q/jobs/one", padded(ownJob, ownBody), tinyChunk), http.StatusOK),
	Entry("is refused with a byte more", front, sized("POST", "/q/one", padded(ordinaryJob, frontBody+1)), http.StatusRequestEntityTooLarge),
	Entry("is refused with a byte more in chunks", front, chunked("POST", "/q/one", padded(ordinaryJob, frontBody+1), largeChunk), http.StatusRequestEntityTooLarge),
	Entry("is refused with a byte more at the own interface", own, chunked("PUT", "/v1/queues/q/jobs/one", padded(ownJob, ownBody+1), largeChunk), http.StatusRequestEntityTooLarge),
)

// Guards against limits that callers in ordinary numbers meet.
var _ = It("an entry serves all of a hundred ordinary callers at once", func() {
	nod := startEntry()
	var done sync.WaitGroup
	for num := range 100 {
		done.Go(func() {
			defer GinkgoRecover()
			Expect(nod.submit(fmt.Sprintf("front-%d", num))).To(Succeed())
			Expect(nod.submitOwn(fmt.Sprintf("own-%d", num))).To(Succeed())
		})
	}
	done.Wait()
	nod.expectWithinLimits()
})
