package backend

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// send streams the body of a request.
func (x *exchange) send(body io.Reader, length int64) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	b := (*buffer)[:piece]
	var err error
	if length < 0 {
		err = x.sendChunks(body, b)
	} else {
		err = x.sendBytes(body, length, b)
	}
	x.sent <- err
}

// sendBytes sends a body of known length.
func (x *exchange) sendBytes(body io.Reader, length int64, b []byte) error {
	for length > 0 {
		n, err := x.read(body, b[:min(length, int64(len(b)))])
		if n > 0 {
			length -= int64(n)
			if _, err := x.conn.Write(b[:n]); err != nil {
				return err
			}
		}
		if err != nil && length > 0 {
			return x.abort(err)
		}
	}
	return nil
}

// sendChunks sends a body of unknown length in the chunked coding.
func (x *exchange) sendChunks(body io.Reader, b []byte) error {
	for {
		n, err := x.read(body, b[chunkHead:len(b)-2])
		if n > 0 {
			size := strconv.AppendInt(b[:0], int64(n), 16)
			size = append(size, "\r\n"...)
			first := chunkHead - len(size)
			copy(b[first:], size)
			end := chunkHead + n + copy(b[chunkHead+n:], "\r\n")
			if _, err := x.conn.Write(b[first:end]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = x.conn.Write([]byte("0\r\n\r\n"))
			return err
		}
		if err != nil {
			return x.abort(err)
		}
	}
}

// read reads the caller's body; meanwhile the server owes nothing.
func (x *exchange) read(body io.Reader, b []byte) (int, error) {
	x.conn.starved.Store(true)
	n, err := body.Read(b)
	x.conn.wrote.Store(x.conn.age(time.Now()))
	x.conn.starved.Store(false)
	return n, err
}

// abort ends the exchange because the caller's body has failed.
func (x *exchange) abort(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	err = fmt.Errorf("backend: read request body: %w", err)
	x.source.Store(&err)
	x.conn.Close()
	return err
}
