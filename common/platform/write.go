package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// Put stores a value and returns its version. The error is a *ConflictError if
// another update was first, and an *UnavailableError if the platform gave no answer in time.
func (c *Client) Put(ctx context.Context, u Update) (int64, error) {
	version, err := c.update(ctx, http.MethodPut, u)
	if err != nil {
		return 0, fmt.Errorf("platform: put %q: %w", u.Name, err)
	}
	return version, nil
}

// Delete replaces an object by a tombstone and returns the tombstone's version. Errors are as with Put.
func (c *Client) Delete(ctx context.Context, u Update) (int64, error) {
	version, err := c.update(ctx, http.MethodDelete, u)
	if err != nil {
		return 0, fmt.Errorf("platform: delete %q: %w", u.Name, err)
	}
	return version, nil
}

// update sends an update until its result is known. Repeating it is safe, because
// a version never comes back, so that at most one of the repetitions takes effect.
func (c *Client) update(ctx context.Context, method string, u Update) (int64, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, updateTimeout)
		defer cancel()
	}
	lost := false
	wait := backoff{}
	for {
		version, err := c.send(ctx, method, u)
		var conflict *ConflictError
		var unavailable *UnavailableError
		switch {
		case errors.As(err, &conflict) && lost:
			version, err = c.settle(ctx, u)
		case errors.As(err, &unavailable) && (lost || !isUnsent(err)):
			lost = true
			version, err = c.settle(ctx, u)
		}
		if err == nil || !errors.As(err, &unavailable) {
			return version, err
		}
		if wait.next(ctx) != nil {
			return 0, &UnavailableError{Uncertain: lost, Err: err}
		}
	}
}

// isUnsent tells whether no connection could be opened.
func isUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// send sends an update once.
func (c *Client) send(ctx context.Context, method string, u Update) (int64, error) {
	header := http.Header{
		"If-Version": {strconv.FormatInt(u.IfVersion, 10)},
		"Author":     {u.Author},
		"Change":     {u.Change},
	}
	var body io.Reader
	if method == http.MethodPut {
		body = bytes.NewReader(u.Value)
	}
	a, err := c.call(ctx, callTimeout, method, pathOf(u.Name), header, body)
	if err != nil {
		return 0, err
	}
	if a.status == http.StatusConflict {
		p := a.problem()
		return 0, &ConflictError{Name: u.Name, Version: p.Version, Author: p.Author, Deleted: p.Deleted}
	}
	var n struct {
		Version int64 `json:"version"`
	}
	if err := a.parse(&n); err != nil {
		return 0, err
	}
	return n.Version, nil
}

// errPending tells that an update has not taken effect so far.
var errPending = eris.New("platform: update has not taken effect")

// settle finds out what became of an update whose answer was lost. It returns the
// update's version, a *ConflictError, or an *UnavailableError if it is to be sent again.
func (c *Client) settle(ctx context.Context, u Update) (int64, error) {
	o, err := c.read(ctx, u.Name)
	if err != nil {
		return 0, err
	}
	switch {
	case o.Author == u.Author && o.Change == u.Change:
		return o.Version, nil
	case o.Version == u.IfVersion:
		return 0, &UnavailableError{Err: errPending}
	}
	conflict := &ConflictError{Name: u.Name, Version: o.Version, Author: o.Author, Deleted: o.Deleted}
	// The update may have been in force before the present version. Only the first
	// change of the object after IfVersion can be this update.
	for after := u.IfVersion; after < o.Version; {
		n, err := c.changes(ctx, u.Name, after, 0)
		if errors.Is(err, errListAgain) {
			break
		}
		if err != nil {
			return 0, err
		}
		for _, e := range n.Objects {
			if e.Name != u.Name {
				continue
			}
			if e.Author == u.Author && e.Change == u.Change {
				return e.Version, nil
			}
			return 0, conflict
		}
		if n.Version <= after {
			break
		}
		after = n.Version
	}
	conflict.Uncertain = true
	return 0, conflict
}

// read returns an object or its tombstone.
func (c *Client) read(ctx context.Context, name string) (Object, error) {
	o, err := c.Get(ctx, name)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return Object{
			Name:    name,
			Version: missing.Version,
			Author:  missing.Author,
			Change:  missing.change,
			Deleted: missing.Version > 0,
		}, nil
	}
	return o, err
}
