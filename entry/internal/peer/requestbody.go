package peer

import (
	"errors"
	"fmt"
	"io"

	"bramleystand.org/entry/internal/rpc"
	"storj.io/drpc"
)

var errBodyFailed = errors.New("peer: sender failed to read the request body")

// requestBody reads the rest of a request body from a Forward stream. The first Read asks
// the sender for it. Until then the sender has not consumed the rest, so a refused request
// can be sent to another process.
type requestBody struct {
	stream    drpc.Stream
	requested bool
	last      bool
	data      []byte
}

func (b *requestBody) Read(p []byte) (int, error) {
	if !b.requested {
		b.requested = true
		if err := b.stream.MsgSend(&wireResponse{Continue: true}, rpc.Encoding{}); err != nil {
			return 0, fmt.Errorf("peer: request rest of body: %w", err)
		}
	}
	for len(b.data) == 0 {
		if b.last {
			return 0, io.EOF
		}
		var chunk wireChunk
		if err := b.stream.MsgRecv(&chunk, rpc.Encoding{}); err != nil {
			return 0, fmt.Errorf("peer: receive request body: %w", err)
		}
		if chunk.Failed {
			return 0, errBodyFailed
		}
		b.data, b.last = chunk.Data, chunk.Last
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}
