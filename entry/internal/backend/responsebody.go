package backend

import (
	"context"
	"errors"
	"fmt"
	"io"

	"bramleystand.org/common/outcome"
)

// Read reads the body of the response. It returns io.EOF only after the whole body.
func (x *exchange) Read(b []byte) (int, error) {
	if x.readErr != nil {
		return 0, x.readErr
	}
	n, err := x.bodyReader.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && x.framed:
		x.readErr = io.EOF
		x.release(true)
		return n, io.EOF
	case errors.Is(err, io.EOF):
		err = ErrUnframed
	}
	x.release(false)
	x.readErr = &Error{Outcome: outcome.Unknown, Err: fmt.Errorf("backend: read response: %w", x.failureCause(err))}
	if x.Outcome == outcome.NotRun {
		x.readErr.(*Error).Outcome = outcome.NotRun
	}
	return n, x.readErr
}

// Close ends the exchange. It closes the connection if the response was not read to its end.
func (x *exchange) Close() error {
	x.release(false)
	return nil
}

// release returns the connection to the pool; only the first call has an effect. The pool
// may reuse the connection only if the response is complete and permits it, the context has
// not ended, the request body was sent in full and no further bytes have arrived.
func (x *exchange) release(complete bool) {
	x.releaseOnce.Do(func() {
		reusable := x.stopAfterFunc() && complete && x.keepAlive && x.conn.reader.Buffered() == 0
		if x.bodySent != nil && reusable {
			select {
			case err := <-x.bodySent:
				reusable = err == nil
			default:
				reusable = false
			}
		}
		x.conn.head.Keep()
		x.memory.Close()
		x.pool.put(x.conn, reusable)
	})
}

// failureCause returns why an operation on the connection failed: an error of the request
// body, silence of the server, the end of the context, or else the given error.
func (x *exchange) failureCause(err error) error {
	if p := x.requestBodyErr.Load(); p != nil {
		return *p
	}
	if x.conn.closedAsSilent.Load() {
		return ErrSilent
	}
	if x.ctx.Err() != nil {
		return fmt.Errorf("backend: request cancelled: %w", context.Cause(x.ctx))
	}
	return err
}
