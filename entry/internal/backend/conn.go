package backend

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// readBuffer holds the head of an answer; larger reads of bodies go past it.
	readBuffer = 4 << 10
	// largestHead bounds the head of an answer.
	largestHead = 1 << 20
	// longestIdle is the age at which an idle connection is not used again, because
	// it may have gone silent; a new one takes about 1 ms.
	longestIdle = 5 * time.Second
)

var errLargeHead = eris.New("backend: head of the answer is too large")

// conn is a connection that knows since when the server owes it bytes.
type conn struct {
	net.Conn
	reader *bufio.Reader
	opened time.Time
	idle   time.Time
	// budget is the number of bytes that the head of an answer may still have; negative in a body.
	budget int
	// reading and wrote are nanoseconds after opened: when the read that is under
	// way began, 0 without one, and when bytes were last written.
	reading atomic.Int64
	wrote   atomic.Int64
	// overdue is the age before which the connection isn't taken for silent.
	overdue atomic.Int64
	// starved is true while the sender waits for the caller's body.
	starved atomic.Bool
	silent  atomic.Bool
	// raw is nil for a connection that is not a socket; peek is kept to save allocations.
	raw   syscall.RawConn
	peek  func(uintptr) bool
	empty bool
}

func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner, opened: time.Now(), budget: -1}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	if s, ok := inner.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	c.peek = func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		c.empty = errors.Is(err, syscall.EAGAIN)
		return true
	}
	return c
}

// age returns the nanoseconds since the connection was opened, at least 1.
func (c *conn) age(now time.Time) int64 {
	return max(1, int64(now.Sub(c.opened)))
}

// Read reads from the server and notes that it is waiting.
func (c *conn) Read(b []byte) (int, error) {
	if c.budget == 0 {
		return 0, errLargeHead
	}
	c.reading.Store(c.age(time.Now()))
	n, err := c.Conn.Read(b)
	c.reading.Store(0)
	if c.budget > 0 {
		c.budget = max(0, c.budget-n)
	}
	return n, err
}

// Write writes to the server.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wrote.Store(c.age(time.Now()))
	return n, err
}

// quiet tells whether the server has owed bytes for some time at the given moment.
func (c *conn) quiet(now time.Time, limit time.Duration) bool {
	reading := c.reading.Load()
	if reading == 0 || c.starved.Load() {
		return false
	}
	age := c.age(now)
	return age >= c.overdue.Load() && age-max(reading, c.wrote.Load()) >= int64(limit)
}

// expect sets when the answer to the next request is overdue.
func (c *conn) expect(overdue time.Time) {
	if overdue.IsZero() {
		c.overdue.Store(0)
		return
	}
	c.overdue.Store(c.age(overdue))
}

// usable tells whether an idle connection may carry another request: it is not
// old, and the server has neither closed it nor sent anything without a request.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idle) > longestIdle || c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.empty = false
	return c.raw.Read(c.peek) == nil && c.empty
}
