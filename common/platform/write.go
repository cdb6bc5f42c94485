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

// Put stores a value and returns its version. The error is a *ConflictError if another
// update was first, and an *UnavailableError if the platform gave no response in time.
func (c *Client) Put(ctx context.Context, u Update) (int64, error) {
	version, err := c.update(ctx, http.MethodPut, u)
	if err != nil {
		return 0, fmt.Errorf("platform: put %q: %w", u.Name, err)
	}
	return version, nil
}

// Delete replaces an object by a tombstone and returns the tombstone's version. The errors are
// those of Put.
func (c *Client) Delete(ctx context.Context, u Update) (int64, error) {
	version, err := c.update(ctx, http.MethodDelete, u)
	if err != nil {
		return 0, fmt.Errorf("platform: delete %q: %w", u.Name, err)
	}
	return version, nil
}

// update sends an update until its result is known. Retries are safe: a version is never
// used again, so that at most one of the attempts takes effect.
func (c *Client) update(ctx context.Context, method string, u Update) (int64, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, updateTimeout)
		defer cancel()
	}
	responseLost := false
	retry := backoff{}
	for {
		version, err := c.sendOnce(ctx, method, u)
		var conflict *ConflictError
		var unavailable *UnavailableError
		switch {
		case errors.As(err, &conflict) && responseLost:
			version, err = c.resolve(ctx, u)
		case errors.As(err, &unavailable) && (responseLost || !isUnsent(err)):
			responseLost = true
			version, err = c.resolve(ctx, u)
		}
		if err == nil || !errors.As(err, &unavailable) {
			return version, err
		}
		if retry.next(ctx) != nil {
			return 0, &UnavailableError{Uncertain: responseLost, Err: err}
		}
	}
}

// isUnsent reports whether no connection could be opened, so that the request was not sent.
func isUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// sendOnce sends an update without a retry.
func (c *Client) sendOnce(ctx context.Context, method string, u Update) (int64, error) {
	header := http.Header{
		"If-Version": {strconv.FormatInt(u.IfVersion, 10)},
		"Author":     {u.Author},
		"Change":     {u.Change},
	}
	var body io.Reader
	if method == http.MethodPut {
		body = bytes.NewReader(u.Value)
	}
	r, err := c.call(ctx, callTimeout, method, objectPath(u.Name), header, body)
	if err != nil {
		return 0, err
	}
	if r.status == http.StatusConflict {
		p := r.problem()
		return 0, &ConflictError{Name: u.Name, Version: p.Version, Author: p.Author, Deleted: p.Deleted}
	}
	var written struct {
		Version int64 `json:"version"`
	}
	if err := r.parse(&written); err != nil {
		return 0, err
	}
	return written.Version, nil
}

// errNotApplied reports that an update has not taken effect so far.
var errNotApplied = eris.New("platform: update has not taken effect")

// resolve determines the result of an update whose response was lost. It returns the
// update's version, a *ConflictError, or an *UnavailableError if it must be sent again.
func (c *Client) resolve(ctx context.Context, u Update) (int64, error) {
	o, err := c.getOrTombstone(ctx, u.Name)
	if err != nil {
		return 0, err
	}
	switch {
	case o.Author == u.Author && o.Change == u.Change:
		return o.Version, nil
	case o.Version == u.IfVersion:
		return 0, &UnavailableError{Err: errNotApplied}
	}
	conflict := &ConflictError{Name: u.Name, Version: o.Version, Author: o.Author, Deleted: o.Deleted}
	// The update may have been applied before the current version. Only the first
	// change of the object after IfVersion can be this update.
	for after := u.IfVersion; after < o.Version; {
		page, err := c.changes(ctx, u.Name, after, 0)
		if errors.Is(err, errChangesGone) {
			break
		}
		if err != nil {
			return 0, err
		}
		for _, e := range page.Objects {
			if e.Name != u.Name {
				continue
			}
			if e.Author == u.Author && e.Change == u.Change {
				return e.Version, nil
			}
			return 0, conflict
		}
		if page.Version <= after {
			break
		}
		after = page.Version
	}
	conflict.Uncertain = true
	return 0, conflict
}

// getOrTombstone returns an object or its tombstone, or an object with version 0 if the name was
// never used.
func (c *Client) getOrTombstone(ctx context.Context, name string) (Object, error) {
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
