package rig

import (
	"context"
	"net"
	"sync"
)

// Proxy forwards TCP connections to an address.
type Proxy struct {
	lsn    net.Listener
	target string

	mu   sync.Mutex
	open map[*pair]bool
}

// pair is a forwarded connection. Once it is silent, nothing that arrives on one side is passed to the other.
type pair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// Forward starts a proxy to an address. It ends with the context of the rig.
func (rig *Rig) Forward(target string) (*Proxy, error) {
	lsn, err := rig.listen()
	if err != nil {
		return nil, err
	}
	prx := &Proxy{lsn: lsn, target: target, open: make(map[*pair]bool)}
	context.AfterFunc(rig.ctx, func() { _ = lsn.Close() })
	go prx.accept()
	return prx, nil
}

// Addr returns the address of the proxy.
func (prx *Proxy) Addr() string { return prx.lsn.Addr().String() }

// Silence makes all connections that are open now deliver nothing more, without closing them. Later connections work.
// It returns their number.
func (prx *Proxy) Silence() int {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	for pai := range prx.open {
		pai.mu.Lock()
		pai.silent = true
		pai.mu.Unlock()
	}
	return len(prx.open)
}

func (prx *Proxy) accept() {
	for {
		near, err := prx.lsn.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", prx.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		pai := &pair{near: near, far: far}
		prx.mu.Lock()
		prx.open[pai] = true
		prx.mu.Unlock()
		go prx.copy(pai, near, far)
		go prx.copy(pai, far, near)
	}
}

// copy forwards one direction. The end of a silent connection is not passed on either.
func (prx *Proxy) copy(pai *pair, from, dest net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		num, err := from.Read(buf)
		pai.mu.Lock()
		silent := pai.silent
		pai.mu.Unlock()
		if num > 0 && !silent {
			if _, err := dest.Write(buf[:num]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	prx.mu.Lock()
	delete(prx.open, pai)
	prx.mu.Unlock()
	pai.mu.Lock()
	silent := pai.silent
	pai.mu.Unlock()
	_ = from.Close()
	if !silent {
		_ = dest.Close()
	}
}
