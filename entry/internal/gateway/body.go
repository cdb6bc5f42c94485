package gateway

import (
	"errors"
	"io"
	"time"

	"bramleystand.org/entry/internal/bodybudget"
)

const (
	// firstBodyBuffer and secondBodyBuffer are the sizes of the first two buffers for a body; the third one has room
	// for the whole. A client must have sent as much as one of them before the next is allocated, and a body of
	// the largest size takes little more than itself.
	firstBodyBuffer  = 64 << 10
	secondBodyBuffer = 4 << 20
	// roomWait bounds the wait for the memory of bodies that have been given up, and roomCheckInterval is the time
	// between two attempts.
	roomWait          = 200 * time.Millisecond
	roomCheckInterval = 5 * time.Millisecond
)

// readAll reads a body of the given size, or of up to that size if it is not known. The capacity of the slice that it
// returns is reserved in the account, also with an error.
func (h *Handler) readAll(from io.Reader, size int64, memory *bodybudget.Account, read *bodyRead) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			next := nextBodyBuffer(int64(cap(body)), size)
			if !h.reserve(memory, next) {
				return body, errNoRoom
			}
			larger := append(make([]byte, 0, next), body...)
			memory.Release(int64(cap(body)))
			body = larger
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n > 0 {
			read.advance(time.Now())
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// nextBodyBuffer returns the size of the buffer after a full one. It has one byte more than the body, so that the end
// of the body is read without another buffer.
func nextBodyBuffer(full, size int64) int64 {
	whole := size + 1
	switch {
	case full >= whole:
		// The body is longer than announced, which its reader rejects.
		return full + firstBodyBuffer
	case full < firstBodyBuffer:
		return min(firstBodyBuffer, whole)
	case full < secondBodyBuffer:
		return min(secondBodyBuffer, whole)
	}
	return whole
}

// reserve reserves memory for a body. If none is left, bodies that make no progress give theirs back.
func (h *Handler) reserve(memory *bodybudget.Account, n int64) bool {
	if memory.Reserve(n) {
		return true
	}
	now := time.Now()
	for h.bodyReads.giveUpStalled(now) {
		for end := time.Now().Add(roomWait); time.Now().Before(end); time.Sleep(roomCheckInterval) {
			if memory.Reserve(n) {
				return true
			}
		}
	}
	return false
}
