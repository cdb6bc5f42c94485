package peer

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"storj.io/drpc"

	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/rpc"
)

// chunkBuffers holds buffers for body chunks, so that a body of any length needs constant memory.
var chunkBuffers = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// sendResponse sends a response. A short body is part of the first message.
func sendResponse(stream drpc.Stream, r *exchange.Response) error {
	buffer := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buffer)
	w := encodeResponse(time.Now(), r)
	n, err := readFull(r.Body, *buffer)
	w.Data = (*buffer)[:n]
	w.Last = errors.Is(err, io.EOF)
	if err := stream.MsgSend(w, rpc.Encoding{}); err != nil {
		return fmt.Errorf("peer: send first chunk: %w", err)
	}
	if w.Last {
		return nil
	}
	if err != nil {
		return sendChunk(stream, &wireChunk{Failed: true})
	}
	return sendChunks(stream, r.Body, *buffer)
}

// readFull reads until the buffer is full or the reader returns an error. It returns that error
// unchanged: io.ReadFull returns io.ErrUnexpectedEOF for a short body, which could not be told
// from a truncated one.
func readFull(r io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := r.Read(buffer[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// sendChunks sends the rest of a body. The last chunk marks the end of the body or the failure to
// read it.
func sendChunks(stream drpc.Stream, body io.Reader, buffer []byte) error {
	for {
		n, err := body.Read(buffer)
		last := errors.Is(err, io.EOF)
		if n > 0 || err != nil {
			if err := sendChunk(stream, &wireChunk{Data: buffer[:n], Last: last, Failed: err != nil && !last}); err != nil {
				return err
			}
		}
		if err != nil {
			return nil
		}
	}
}

func sendChunk(stream drpc.Stream, c *wireChunk) error {
	if err := stream.MsgSend(c, rpc.Encoding{}); err != nil {
		return fmt.Errorf("peer: send chunk: %w", err)
	}
	return nil
}
