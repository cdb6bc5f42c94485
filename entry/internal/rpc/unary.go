// Package rpc holds what all drpc protocols between entry processes share: the encoding, the
// closing of connections that have gone silent, and unary calls.
//
// # Usage
//
//	func (s *Server) HandleRPC(stream drpc.Stream, rpcName string) error {
//		return rpc.HandleUnary(stream, decode, s.handle, encode)
//	}
package rpc

import (
	"fmt"
	"time"

	"storj.io/drpc"
)

// HandleUnary handles a call with one request and one response: it receives the request, passes it
// to handle with the current time, and sends the response.
func HandleUnary[In, Out, WireIn, WireOut any](stream drpc.Stream, decode func(*WireIn) In, handle func(time.Time, In) Out, encode func(Out) *WireOut) error {
	var in WireIn
	if err := stream.MsgRecv(&in, Encoding{}); err != nil {
		return fmt.Errorf("rpc: receive request: %w", err)
	}
	out := handle(time.Now(), decode(&in))
	if err := stream.MsgSend(encode(out), Encoding{}); err != nil {
		return fmt.Errorf("rpc: send response: %w", err)
	}
	return nil
}
