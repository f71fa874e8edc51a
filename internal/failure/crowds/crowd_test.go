package crowds_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// sendLimit ends a write that the process does not take, because it has refused the client.
	sendLimit = 10 * time.Second
	// wholeShare is the share of the clients that send all of their request: one of this many.
	wholeShare = 8
	tinyChunk  = 8
	largeChunk = 64 << 10
	piece      = 4 << 10
)

// script is what a client sends, in parts. The last part is sent by one client of wholeShare only.
type script [][]byte

// crowd opens connections, sends the script on each at the same time and leaves the connections open until
// the spec ends.
func crowd(addr string, size int, scr script) []net.Conn {
	GinkgoHelper()
	cons := connect(addr, size)
	var done sync.WaitGroup
	for num, con := range cons {
		done.Go(func() { play(con, scr, num%wholeShare == 0) })
	}
	done.Wait()
	return cons
}

// connect opens connections that end with the spec. The process may refuse some of them.
func connect(addr string, size int) []net.Conn {
	GinkgoHelper()
	var cons []net.Conn
	for range size {
		if con, err := net.DialTimeout("tcp", addr, sendLimit); err == nil {
			DeferCleanup(func() { _ = con.Close() }) // the process may have closed it
			cons = append(cons, con)
		}
	}
	Expect(cons).NotTo(BeEmpty())
	return cons
}

// play sends a script. It ends early when the process has closed the connection or does not read.
func play(con net.Conn, scr script, whole bool) {
	for num, part := range scr {
		if num == len(scr)-1 && !whole {
			return
		}
		_ = con.SetWriteDeadline(time.Now().Add(sendLimit))
		if _, err := con.Write(part); err != nil {
			return
		}
	}
}

// head returns the first lines of a request up to its body.
func head(method, path string, headers ...string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", method, path, host, strings.Join(headers, "\r\n"))
}

// sized returns a request with a body of a known size, of which the last byte is a part of its own.
func sized(method, path string, body []byte, headers ...string) script {
	req := append(head(method, path, append(headers, fmt.Sprintf("Content-Length: %d", len(body)))...), body...)
	return script{req[:len(req)-1], req[len(req)-1:]}
}

// inPieces divides all parts but the last one into pieces.
func (scr script) inPieces() script {
	var res script
	for _, part := range scr[:len(scr)-1] {
		for len(part) > piece {
			res, part = append(res, part[:piece]), part[piece:]
		}
		res = append(res, part)
	}
	return append(res, scr[len(scr)-1])
}

// chunked returns a request with a body in chunks of a size, of which the last chunk is a part of its own.
func chunked(method, path string, body []byte, size int, headers ...string) script {
	buf := bytes.NewBuffer(head(method, path, append(headers, "Transfer-Encoding: chunked")...))
	for len(body) > 0 {
		num := min(size, len(body))
		fmt.Fprintf(buf, "%x\r\n%s\r\n", num, body[:num])
		body = body[num:]
	}
	return script{buf.Bytes(), []byte("0\r\n\r\n")}
}

// padded returns an ordinary job that fills a body of exactly a size.
func padded(job string, size int) []byte {
	return append(bytes.Repeat([]byte{' '}, size-len(job)), job...)
}

// repeated returns a JSON object with a list of as many equal elements as fit in a body of a size.
func repeated(key, element string, size int) []byte {
	begin, end := `{"`+key+`":[`+element, `]}`
	num := (size - len(begin) - len(end)) / (len(element) + 1)
	return []byte(begin + strings.Repeat(","+element, num) + end)
}

// tinyHeaders returns an unfinished request with short header lines of a size in all.
func tinyHeaders(path string, size int) script {
	buf := bytes.NewBufferString("POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\n")
	for num := 0; buf.Len() < size-8; num++ {
		fmt.Fprintf(buf, "%s:\r\n", headerName(num))
	}
	return script{buf.Bytes(), []byte("\r\n")}
}

// headerName returns the shortest header names that no other number has.
func headerName(num int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := ""
	for {
		name += string(letters[num%len(letters)])
		if num /= len(letters); num == 0 {
			return name
		}
		num--
	}
}
