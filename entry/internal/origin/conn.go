package origin

import (
	"bufio"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"bramleystand.org/entry/internal/bodybudget"
)

const (
	// readBufferSize is enough for the head of a response; larger reads of a body bypass the buffer.
	readBufferSize = 2 << 10
	// responsePrefix is how every HTTP/1 response begins.
	responsePrefix = "HTTP/1."
	// defaultIdleTime is how long an idle connection is kept if the server states no timeout in a Keep-Alive
	// field. It is four fifths of the shortest idle timeout that servers commonly have, 5 s.
	defaultIdleTime = 4 * time.Second
	// maxIdleTime is how long an idle connection is kept at most.
	maxIdleTime = 30 * time.Second
	// maxFreshIdleTime is the longest idle time of a connection for a request that must not run
	// twice. A server may close an idle connection at any moment. If the request is sent at the
	// same moment, its outcome is unknown, while a new connection takes only about 1 ms.
	maxFreshIdleTime = 300 * time.Millisecond
)

// conn is a connection to a server. It is used for one request at a time.
type conn struct {
	net.Conn
	// limited is the source of reader. Its limit is set before each part of a response is read.
	limited *io.LimitedReader
	// head reserves the memory for the head that is read while inHead is true.
	head   bodybudget.Head
	inHead bool
	// headErr is the error of reading the head.
	headErr error
	reader  *bufio.Reader
	// heads is the number of responses to other requests that were read for the present request.
	heads int
	// idleSince is when the connection became idle, and idleUntil when it must no longer be used.
	idleSince time.Time
	idleUntil time.Time
	// reused is true if the connection has been used for an earlier request.
	reused bool
	// carried holds hashes of the identifiers of the latest requests, and requests counts all of them.
	carried  [maxCarried]uint64
	requests int
}

// maxCarried is the number of requests whose identifiers a connection remembers.
const maxCarried = 64

var identifierSeed = maphash.MakeSeed()

// markCarried records that the connection carries a request.
func (c *conn) markCarried(id string) {
	c.carried[c.requests%maxCarried] = maphash.String(identifierSeed, id)
	c.requests++
}

// hasCarried reports whether one of the latest requests had the identifier.
func (c *conn) hasCarried(id string) bool {
	return slices.Contains(c.carried[:min(c.requests, maxCarried)], maphash.String(identifierSeed, id))
}

func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner}
	c.limited = &io.LimitedReader{R: countedReader{c}}
	c.reader = bufio.NewReaderSize(c.limited, readBufferSize)
	return c
}

// countedReader reads from a connection and reserves the memory for heads.
type countedReader struct{ conn *conn }

// Read implements io.Reader.
func (r countedReader) Read(b []byte) (int, error) {
	c := r.conn
	if !c.inHead {
		return c.Conn.Read(b)
	}
	// An error ends the head for good: net/http takes a line that an error cuts off for a whole one and reads on.
	if c.headErr != nil {
		return 0, c.headErr
	}
	n, err := c.Conn.Read(b)
	if !c.head.Add(n) {
		n, err = 0, errMemoryLimit
	}
	c.headErr = err
	return n, err
}

// isReusable reports whether an idle connection may be used for another request: it has not
// expired, and the server has neither closed it nor sent unsolicited data. If fresh is true, it
// must also have been idle for at most maxFreshIdleTime.
func (c *conn) isReusable(now time.Time, fresh bool) bool {
	if !now.Before(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	if fresh && now.Sub(c.idleSince) > maxFreshIdleTime {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// answered reports whether any byte of an answer to the present request has arrived.
func (c *conn) answered() bool { return c.heads > 0 || c.limited.N != maxHeadBytes }

// receivesHTTP reports whether the next bytes may begin a response. It decides at the first byte that
// differs, because http.ReadResponse waits for the end of the line. A failed read is left to
// http.ReadResponse, which returns the error.
func (c *conn) receivesHTTP() bool {
	for n := 1; n <= len(responsePrefix); n++ {
		start, err := c.reader.Peek(n)
		if err != nil {
			return true
		}
		if start[n-1] != responsePrefix[n-1] {
			return false
		}
	}
	return true
}

// markIdle marks the connection as idle and sets its expiry from the timeout in the Keep-Alive
// field of the last response, if there is one.
func (c *conn) markIdle(now time.Time, h http.Header) {
	c.idleSince, c.idleUntil, c.reused = now, now.Add(defaultIdleTime), true
	for _, value := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
			seconds, err := strconv.Atoi(number)
			if strings.EqualFold(name, "timeout") && err == nil {
				// A fifth of the timeout is left for sending the next request.
				c.idleUntil = now.Add(min(maxIdleTime, time.Duration(seconds)*time.Second*4/5))
			}
		}
	}
}

// abort resets the connection. Data that is not sent yet is discarded, and a server that reads from
// the connection learns at once that the client no longer waits for the response.
func (c *conn) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
