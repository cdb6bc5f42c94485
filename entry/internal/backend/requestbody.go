package backend

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// sendBody streams the body of a request. A negative length stands for an unknown one.
func (x *exchange) sendBody(body io.Reader, length int64) {
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	b := (*buffer)[:bufferSize]
	var err error
	if length < 0 {
		err = x.sendChunked(body, b)
	} else {
		err = x.sendSized(body, length, b)
	}
	x.bodySent <- err
}

// sendSized sends a body of known length.
func (x *exchange) sendSized(body io.Reader, length int64, b []byte) error {
	for length > 0 {
		n, err := x.readRequestBody(body, b[:min(length, int64(len(b)))])
		if n > 0 {
			length -= int64(n)
			if _, err := x.conn.Write(b[:n]); err != nil {
				return err
			}
		}
		if err != nil && length > 0 {
			return x.abortRequest(err)
		}
	}
	return nil
}

// sendChunked sends a body of unknown length in the chunked coding.
func (x *exchange) sendChunked(body io.Reader, b []byte) error {
	for {
		n, err := x.readRequestBody(body, b[chunkHeadSize:len(b)-2])
		if n > 0 {
			size := strconv.AppendInt(b[:0], int64(n), 16)
			size = append(size, "\r\n"...)
			start := chunkHeadSize - len(size)
			copy(b[start:], size)
			end := chunkHeadSize + n + copy(b[chunkHeadSize+n:], "\r\n")
			if _, err := x.conn.Write(b[start:end]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = x.conn.Write([]byte("0\r\n\r\n"))
			return err
		}
		if err != nil {
			return x.abortRequest(err)
		}
	}
}

// readRequestBody reads from the caller's body. During the read, and for a full threshold
// after it, the connection doesn't count as stalled.
func (x *exchange) readRequestBody(body io.Reader, b []byte) (int, error) {
	x.conn.awaitingBody.Store(true)
	n, err := body.Read(b)
	x.conn.lastWrite.Store(x.conn.age(time.Now()))
	x.conn.awaitingBody.Store(false)
	return n, err
}

// abortRequest closes the connection because reading the caller's body failed. The server
// then can't take the request for a complete one.
func (x *exchange) abortRequest(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	err = fmt.Errorf("backend: read request body: %w", err)
	x.requestBodyErr.Store(&err)
	x.conn.Close()
	return err
}
