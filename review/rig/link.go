package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// link stands before the address at which a router listens for the others, and can cut routers off from each other.
type link struct {
	listener net.Listener
	to       string
	owner    *router
	routers  func() []*router

	mu    sync.Mutex
	cut   *router
	conns map[net.Conn]*router
}

// newLink returns a link to the address, which is that of the owner.
func newLink(to string, owner *router, routers func() []*router) (l *link, err error) {
	l = &link{to: to, owner: owner, routers: routers, conns: map[net.Conn]*router{}}
	l.listener, err = net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// setCut resets all channels of the router with others over this link, and further ones, until it is called with nil.
func (l *link) setCut(r *router) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = r
	for c, from := range l.conns {
		if l.isCut(from) {
			resetConn(c)
		}
	}
}

func (l *link) isCut(from *router) bool { return l.cut != nil && (l.cut == l.owner || l.cut == from) }

func resetConn(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(c)
	}
}

func (l *link) carry(c net.Conn) {
	from := callerOf(c, l.routers())
	l.mu.Lock()
	blocked := l.isCut(from)
	if !blocked {
		l.conns[c] = from
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	if blocked {
		resetConn(c)
		return
	}
	to, err := net.Dial("tcp4", l.to)
	if err != nil {
		resetConn(c)
		return
	}
	go func() {
		_, _ = io.Copy(to, c)
		_ = to.Close()
	}()
	_, _ = io.Copy(c, to)
	_ = c.Close()
	_ = to.Close()
}

// callerOf returns the router whose process has opened the channel, nil if none has.
func callerOf(c net.Conn, routers []*router) *router {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	if inode == "" {
		return nil
	}
	for _, r := range routers {
		if r.process == nil || r.process.Process == nil {
			continue
		}
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", r.process.Process.Pid))
		for _, f := range files {
			if target, err := os.Readlink(f); err == nil && target == "socket:["+inode+"]" {
				return r
			}
		}
	}
	return nil
}

// socketInode returns the inode of the local socket with these ports, as the system lists it.
func socketInode(localPort, remotePort int) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && portOf(fields[1]) == localPort && portOf(fields[2]) == remotePort {
			return fields[9]
		}
	}
	return ""
}

func portOf(address string) int {
	_, hexadecimal, _ := strings.Cut(address, ":")
	port, _ := strconv.ParseInt(hexadecimal, 16, 32)
	return int(port)
}
