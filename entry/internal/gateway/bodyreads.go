package gateway

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// stallTime is how long a body may make no progress while others find no room.
const stallTime = time.Second

var errNoRoom = errors.New("gateway: no room for the body of a request")

// bodyReads holds the bodies that are being read. It is safe for concurrent use.
type bodyReads struct {
	mu sync.Mutex
	// limit returns the latest time for the end of a body whose request has the given deadline; nil for no limit.
	limit func(deadline time.Time) time.Time
	all   map[*http.ResponseController]*bodyRead
	// stalled counts the bodies that were given up to make room.
	stalled int64
}

// bodyRead is a body that is being read.
type bodyRead struct {
	reads      *bodyReads
	controller *http.ResponseController
	deadline   time.Time
	// progress is when the latest bytes arrived.
	progress time.Time
	givenUp  bool
}

func newBodyReads() *bodyReads {
	return &bodyReads{all: make(map[*http.ResponseController]*bodyRead)}
}

// begin sets the deadline of a body that is going to be read.
func (b *bodyReads) begin(c *http.ResponseController, deadline time.Time) (*bodyRead, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit != nil {
		deadline = earlier(deadline, b.limit(deadline))
	}
	r := &bodyRead{reads: b, controller: c, deadline: deadline, progress: time.Now()}
	b.all[c] = r
	return r, c.SetReadDeadline(deadline)
}

// end removes a body that is no longer read. Its deadline stays set.
func (b *bodyReads) end(c *http.ResponseController) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.all, c)
}

// advance records that bytes of the body have arrived.
func (r *bodyRead) advance(now time.Time) {
	r.reads.mu.Lock()
	defer r.reads.mu.Unlock()
	r.progress = now
}

// limitTo moves the deadlines of all bodies to those that limit returns if they are later. It returns the first error.
func (b *bodyReads) limitTo(limit func(deadline time.Time) time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	var first error
	for c, r := range b.all {
		if r.givenUp {
			continue
		}
		if err := c.SetReadDeadline(earlier(r.deadline, limit(r.deadline))); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// giveUpStalled ends the read of the body that has made no progress for longest, and reports whether there is one that
// has stalled.
func (b *bodyReads) giveUpStalled(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var oldest *bodyRead
	for _, r := range b.all {
		if !r.givenUp && now.Sub(r.progress) > stallTime && (oldest == nil || r.progress.Before(oldest.progress)) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	oldest.givenUp = true
	b.stalled++
	_ = oldest.controller.SetReadDeadline(now)
	return true
}

func (b *bodyReads) stalledCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stalled
}
