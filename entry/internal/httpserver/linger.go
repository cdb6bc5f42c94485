package httpserver

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTime and lingerBytes bound how long a connection is read after its last response, so that a client
	// which still sends gets the response before a reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// linger tells the client that there are no more responses and reads on for a while: beyond the bounds until the client
// has received all of them, as long as it goes on receiving. A connection that is closed with unread bytes is reset, and
// what the client has not received by then is lost.
func (k *conn) linger() {
	if t, ok := k.net.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	least, progress := int(noLimit), time.Now()
	for {
		_ = k.net.SetReadDeadline(time.Now().Add(lingerTime))
		_, err := io.CopyN(io.Discard, k.net, lingerBytes)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		left, now := unreceived(k.net), time.Now()
		switch {
		case left == 0:
			return
		case left < least:
			least, progress = left, now
		case now.Sub(progress) > k.server.limits().WriteTimeout:
			k.server.counts.Stalled.Add(1)
			return
		}
	}
}

// unreceived returns the number of bytes that were written to a connection and have not been acknowledged, or zero if it
// is not known.
func unreceived(c net.Conn) int {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	var failed error
	err = raw.Control(func(descriptor uintptr) { n, failed = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ) })
	if err != nil || failed != nil {
		return 0
	}
	return n
}
