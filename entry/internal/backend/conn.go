package backend

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/entry/internal/bodybudget"
)

const (
	// readBufferSize is the size of the buffer for response heads. Larger reads of bodies bypass it.
	readBufferSize = 4 << 10
	// maxHeadSize is the maximum size of a response head, and maxInterimSize that of a final one together with
	// the heads of interim responses.
	maxHeadSize    = 64 << 10
	maxInterimSize = 1 << 20
	// maxHeadMemory bounds the memory for the large heads of all responses of a server in progress.
	maxHeadMemory = 8 << 20
	// maxIdleTime is how long a connection may be idle and still be reused. An older one
	// may have gone silent, and opening a new one takes only about 1 ms.
	maxIdleTime = 5 * time.Second
)

var (
	errHeadTooLarge    = eris.New("backend: response head exceeds 64 KiB")
	errInterimTooLarge = eris.New("backend: response head exceeds 1 MiB with the interim responses before it")
	errHeadMemory      = eris.New("backend: no memory left for the response head, those of other responses take it")
)

// conn is a connection to the server that records for how long it has been waiting for bytes.
type conn struct {
	net.Conn
	reader *bufio.Reader
	opened time.Time
	// exchanges is the number of requests that the connection has carried. Servers repeat it in the
	// response, so that a second copy of an earlier response is not taken for the next one.
	exchanges uint64
	// numbered is true if the server has repeated the number of the last request.
	numbered bool
	// idle is when the connection became idle.
	idle time.Time
	// headBudget is the number of bytes that may still be read of a response head; negative
	// outside a head.
	headBudget int
	// head reserves the memory for the head.
	head bodybudget.Head
	// readStart and lastWrite are nanoseconds since opened: when the read in progress began,
	// 0 without one, and when bytes were last written.
	readStart atomic.Int64
	lastWrite atomic.Int64
	// overdue is the age in nanoseconds before which the connection doesn't count as stalled.
	overdue atomic.Int64
	// awaitingBody is true while the request can't proceed because the caller's body has no
	// data yet.
	awaitingBody   atomic.Bool
	closedAsSilent atomic.Bool
	// rawConn is nil for a connection that is not a socket. checkRead is the function that
	// isReusable passes to it; it is kept in a field to save an allocation per call. It sets
	// noData if nothing can be read.
	rawConn   syscall.RawConn
	checkRead func(uintptr) bool
	noData    bool
}

func newConn(netConn net.Conn) *conn {
	c := &conn{Conn: netConn, opened: time.Now(), headBudget: -1}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	if s, ok := netConn.(syscall.Conn); ok {
		if rawConn, err := s.SyscallConn(); err == nil {
			c.rawConn = rawConn
		}
	}
	c.checkRead = func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		c.noData = errors.Is(err, syscall.EAGAIN)
		return true
	}
	return c
}

// age returns the nanoseconds since the connection was opened, at least 1.
func (c *conn) age(now time.Time) int64 {
	return max(1, int64(now.Sub(c.opened)))
}

// Read reads from the server and records since when it has been waiting.
func (c *conn) Read(b []byte) (int, error) {
	if c.headBudget == 0 {
		return 0, errHeadTooLarge
	}
	c.readStart.Store(c.age(time.Now()))
	n, err := c.Conn.Read(b)
	c.readStart.Store(0)
	if c.headBudget > 0 {
		c.headBudget = max(0, c.headBudget-n)
		if !c.head.Add(n) {
			return 0, errHeadMemory
		}
	}
	return n, err
}

// Write writes to the server and records when.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.lastWrite.Store(c.age(time.Now()))
	return n, err
}

// isStalled reports whether at the given time the client has been waiting for bytes of the
// server for at least the limit, and the response is overdue.
func (c *conn) isStalled(now time.Time, limit time.Duration) bool {
	readStart := c.readStart.Load()
	if readStart == 0 || c.awaitingBody.Load() {
		return false
	}
	age := c.age(now)
	return age >= c.overdue.Load() && age-max(readStart, c.lastWrite.Load()) >= int64(limit)
}

// setOverdue sets when the response to the next request is overdue; the zero time stands
// for at once.
func (c *conn) setOverdue(overdue time.Time) {
	if overdue.IsZero() {
		c.overdue.Store(0)
		return
	}
	c.overdue.Store(c.age(overdue))
}

// isReusable reports whether an idle connection may carry another request: it has not been
// idle for too long, and the server has neither closed it nor sent unrequested bytes.
func (c *conn) isReusable(now time.Time) bool {
	if now.Sub(c.idle) > maxIdleTime || c.reader.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	c.noData = false
	return c.rawConn.Read(c.checkRead) == nil && c.noData
}
