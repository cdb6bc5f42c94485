package peer

import (
	"context"
	"fmt"
	"io"

	"bramleystand.org/entry/internal/rpc"
	"storj.io/drpc"
)

// responseBody reads a response body from a Forward stream. Read returns io.EOF only after
// the last chunk, so a truncated response is never taken for a complete one.
type responseBody struct {
	stream drpc.Stream
	cancel context.CancelFunc
	data   []byte
	last   bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.data) == 0 {
		if b.last {
			return 0, io.EOF
		}
		var chunk wireChunk
		if err := b.stream.MsgRecv(&chunk, rpc.Encoding{}); err != nil {
			return 0, fmt.Errorf("peer: receive response body: %w: %w", err, io.ErrUnexpectedEOF)
		}
		if chunk.Failed {
			return 0, fmt.Errorf("peer: leaseholder failed to read the response of the backend server: %w", io.ErrUnexpectedEOF)
		}
		b.data, b.last = chunk.Data, chunk.Last
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close closes the stream and discards what has not been read.
func (b *responseBody) Close() error {
	err := b.stream.Close()
	b.cancel()
	if err != nil {
		return fmt.Errorf("peer: close response stream: %w", err)
	}
	return nil
}
