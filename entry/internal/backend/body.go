package backend

import (
	"context"
	"errors"
	"fmt"
	"io"

	"bramleystand.org/common/outcome"
)

// Read reads the body of the answer. It returns io.EOF only after the whole body.
func (x *exchange) Read(b []byte) (int, error) {
	if x.err != nil {
		return 0, x.err
	}
	n, err := x.body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && x.framed:
		x.err = io.EOF
		x.finish(true)
		return n, io.EOF
	case errors.Is(err, io.EOF):
		err = ErrTruncated
	}
	x.finish(false)
	x.err = &Error{Outcome: outcome.Unknown, Err: fmt.Errorf("backend: read answer: %w", x.cause(err))}
	if x.Outcome == outcome.NotRun {
		x.err.(*Error).Outcome = outcome.NotRun
	}
	return n, x.err
}

// Close ends the exchange; the connection is closed if the answer was not read to its end.
func (x *exchange) Close() error {
	x.finish(false)
	return nil
}

// finish gives the connection back, once.
func (x *exchange) finish(complete bool) {
	x.once.Do(func() {
		reusable := x.stop() && complete && x.reuse && x.conn.reader.Buffered() == 0
		if x.sent != nil && reusable {
			select {
			case err := <-x.sent:
				reusable = err == nil
			default:
				reusable = false
			}
		}
		x.pool.put(x.conn, reusable)
	})
}

// cause returns the reason behind an error of the connection.
func (x *exchange) cause(err error) error {
	if p := x.source.Load(); p != nil {
		return *p
	}
	if x.conn.silent.Load() {
		return ErrSilent
	}
	if x.ctx.Err() != nil {
		return fmt.Errorf("backend: cancelled: %w", context.Cause(x.ctx))
	}
	return err
}
