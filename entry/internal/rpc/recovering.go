package rpc

import (
	"runtime/debug"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
)

// Recovering passes calls to a handler. A panic ends the call with an error, as it does in net/http, because
// drpc would let it end the process.
type Recovering struct {
	Handler drpc.Handler
	Logger  log.Interface
}

// HandleRPC implements drpc.Handler.
func (r Recovering) HandleRPC(stream drpc.Stream, method string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = eris.Errorf("rpc: panic in method %q: %v", method, p)
			r.Logger.WithError(err).WithField("stack", string(debug.Stack())).Error("call of another process failed")
		}
	}()
	return r.Handler.HandleRPC(stream, method)
}
