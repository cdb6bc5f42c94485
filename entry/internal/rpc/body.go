package rpc

import (
	"fmt"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
)

// maxChunk is the largest part of a body in one message.
const maxChunk = 32 << 10

// errBodyLength means that a body is not as long as it was announced.
var errBodyLength = eris.New("rpc: the body is not as long as announced")

// chunk is a part of a body.
type chunk struct {
	_    struct{} `cbor:",toarray"`
	Data []byte
	Last bool
}

// SendBody sends a whole body, whose length the receiver knows. Until it has returned without an error, the
// receiver may lack the end; the last message is sent last.
func SendBody(stream drpc.Stream, body []byte) error {
	for last := false; !last; {
		n := min(len(body), maxChunk)
		last = n == len(body)
		if err := stream.MsgSend(&chunk{Data: body[:n], Last: last}, Encoding{}); err != nil {
			return fmt.Errorf("rpc: send body: %w", err)
		}
		body = body[n:]
	}
	return nil
}

// ReceiveBody receives a body of the given length.
func ReceiveBody(stream drpc.Stream, length int64) ([]byte, error) {
	if length < 0 {
		return nil, errBodyLength
	}
	body := make([]byte, 0, length)
	for {
		var c chunk
		if err := stream.MsgRecv(&c, Encoding{}); err != nil {
			return nil, fmt.Errorf("rpc: receive body: %w", err)
		}
		if int64(len(body)+len(c.Data)) > length || c.Last && int64(len(body)+len(c.Data)) != length {
			return nil, errBodyLength
		}
		body = append(body, c.Data...)
		if c.Last {
			return body, nil
		}
	}
}
